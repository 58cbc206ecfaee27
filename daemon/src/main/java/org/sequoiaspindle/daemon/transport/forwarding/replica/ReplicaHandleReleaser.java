package org.sequoiaspindle.daemon.transport.forwarding.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.StageCodec;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.HandleReleaser;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;

/**
 * Releases results at the replicas that store them, in batches. Failed calls are not retried, since
 * results expire at the replica anyway. Thread-safe.
 */
public final class ReplicaHandleReleaser implements HandleReleaser {

    /** Time for which handles are collected for one call, in milliseconds. */
    private static final long BATCH_DELAY_MS = 10;

    /** Timeout of a call in milliseconds. */
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Maximum size of a response, whose content does not matter. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    /**
     * Separates the connections of these calls from those of calls that execute pieces. Any
     * response ends a call here, also a late copy of an earlier one, and on a common connection the
     * true response would then be read by a call that executes pieces.
     */
    private static final String CONNECTION_SUFFIX = "/release";

    private final EventLoopWorker worker;
    private final StageCodec codec;
    private final Registry registry;
    private final Predicate<Replica> acceptsCalls;
    private final BiConsumer<Replica, List<String>> onReleased;

    /** Pending handles by the address of the replica; accessed only on the worker's event loop. */
    private final Map<HostPort, List<String>> pendingByReplica = new HashMap<>();

    /**
     * Creates a releaser without pending handles.
     *
     * @param acceptsCalls returns whether a replica wants calls; the results of others expire there
     * @param onReleased called when a call to release handles has ended
     */
    public ReplicaHandleReleaser(
            EventLoopWorker worker,
            StageCodec codec,
            Registry registry,
            Predicate<Replica> acceptsCalls,
            BiConsumer<Replica, List<String>> onReleased) {
        this.worker = worker;
        this.codec = codec;
        this.registry = registry;
        this.acceptsCalls = acceptsCalls;
        this.onReleased = onReleased;
    }

    @Override
    public void release(List<String> handles) {
        if (!handles.isEmpty()) {
            worker.loop().execute(() -> addPending(handles));
        }
    }

    private void addPending(List<String> handles) {
        if (pendingByReplica.isEmpty()) {
            worker.loop().schedule(this::sendPending, BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        for (String handle : handles) {
            Optional<HostPort> replica = codec.replicaAddress(handle);
            replica.ifPresent(
                    address ->
                            pendingByReplica
                                    .computeIfAbsent(address, key -> new ArrayList<>())
                                    .add(handle));
        }
    }

    private void sendPending() {
        Map<HostPort, List<String>> batch = new HashMap<>(pendingByReplica);
        pendingByReplica.clear();
        batch.forEach(this::send);
    }

    private void send(HostPort address, List<String> handles) {
        Optional<Replica> replica = registry.replicas().replicaAt(address).filter(acceptsCalls);
        if (replica.isEmpty()) {
            return;
        }
        worker.httpClient()
                .execute(
                        new HttpCallClient.Call(
                                new Destination(
                                        address, replica.get().id().toString() + CONNECTION_SUFFIX),
                                "POST",
                                codec.releasePath(),
                                Map.of(),
                                codec.encodeRelease(handles),
                                CALL_TIMEOUT_MS,
                                MAX_RESPONSE_BYTES,
                                () -> acceptsCalls.test(replica.get()),
                                response -> true))
                .thenAccept(response -> onReleased.accept(replica.get(), handles));
    }
}
