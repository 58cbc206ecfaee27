package org.sequoiaspindle.daemon.transport.forwarding.permit;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.forwarding.permit.ClockReading;
import org.sequoiaspindle.core.coordination.forwarding.permit.SendPermit;
import org.sequoiaspindle.core.protocol.forwarding.ColdEndpointTracker;
import org.sequoiaspindle.core.protocol.forwarding.IssuerDirectory;
import org.sequoiaspindle.core.protocol.forwarding.PermitIssuer;
import org.sequoiaspindle.core.protocol.forwarding.PermitReply;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.SendPermits;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** Obtains permits from the issuer of each replica, which may be this instance. Thread-safe. */
final class PermitClient implements SendPermits {

    /**
     * Time for which a request waits for a permit, in milliseconds. A peer answers within a few
     * milliseconds, and another replica can be chosen afterwards.
     */
    static final long WAIT_MS = 25;

    /** Longest time that is told to callers, in milliseconds. */
    private static final long MAX_WARM_UP_MS = 600_000;

    private final String instance;
    private final PermitIssuer localIssuer;
    private final IssuerDirectory directory;
    private final ColdEndpointTracker tracker;
    private final Registry registry;
    private final EventLoopWorker worker;
    private final Supplier<ClockReading> clocks;
    private final ForwardingMetrics metrics;
    private final Map<HostPort, PermitLink> links = new ConcurrentHashMap<>();

    /** Times before which the issuer of a replica has no further permit. */
    private final Map<ReplicaId, Long> refusedUntil = new ConcurrentHashMap<>();

    /**
     * Creates a client without links.
     *
     * @param instance name of this instance
     * @param localIssuer issues the permits of the replicas for which this instance is the issuer
     * @param worker event loop of the links
     */
    PermitClient(
            String instance,
            PermitIssuer localIssuer,
            IssuerDirectory directory,
            ColdEndpointTracker tracker,
            Registry registry,
            EventLoopWorker worker,
            Supplier<ClockReading> clocks,
            ForwardingMetrics metrics) {
        this.instance = instance;
        this.localIssuer = localIssuer;
        this.directory = directory;
        this.tracker = tracker;
        this.registry = registry;
        this.worker = worker;
        this.clocks = clocks;
        this.metrics = metrics;
    }

    @Override
    public CompletionStage<Optional<SendPermit>> request(Replica replica) {
        ClockReading askedAt = clocks.get();
        if (askedAt.monotonicMillis() < refusedUntil.getOrDefault(replica.id(), Long.MIN_VALUE)) {
            return CompletableFuture.completedFuture(permit(replica, askedAt, false));
        }
        return ask(replica)
                .thenApply(
                        reply -> {
                            if (reply.waitMillis() > 0) {
                                refusedUntil.put(
                                        replica.id(),
                                        clocks.get().monotonicMillis() + reply.waitMillis());
                            }
                            return permit(replica, askedAt, reply.granted());
                        });
    }

    private Optional<SendPermit> permit(Replica replica, ClockReading askedAt, boolean granted) {
        if (!granted) {
            metrics.recordPermit("refused");
            return Optional.empty();
        }
        return Optional.of(new SendPermit(replica.id(), askedAt));
    }

    private CompletionStage<PermitReply> ask(Replica replica) {
        String name = replica.id().toString();
        Optional<String> issuer = directory.issuerOf(name);
        if (issuer.filter(instance::equals).isPresent()) {
            return CompletableFuture.completedFuture(localIssuer.issue(name));
        }
        Optional<HostPort> address =
                issuer.map(registry.instances()::get).map(InstanceEntry::address);
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(PermitReply.NOT_ISSUER);
        }
        CompletableFuture<PermitReply> answer = new CompletableFuture<>();
        worker.loop().execute(() -> link(address.get()).ask(name, answer));
        return worker.timer().withTimeout(answer, WAIT_MS, () -> PermitReply.NOT_ISSUER);
    }

    private PermitLink link(HostPort address) {
        return links.computeIfAbsent(
                address,
                peer -> new PermitLink(peer, worker.loop(), () -> clocks.get().monotonicMillis()));
    }

    @Override
    public boolean use(SendPermit permit) {
        boolean usable = permit.isUsable(clocks.get());
        metrics.recordPermit(usable ? "used" : "expired");
        return usable;
    }

    @Override
    public long millisUntilWarm(Replica replica) {
        long now = clocks.get().monotonicMillis();
        long until = tracker.coldUntil(replica);
        return until <= now ? 0 : Math.min(MAX_WARM_UP_MS, until - now);
    }

    /** Removes what is kept of replicas and instances that have gone. Runs on the event loop. */
    void removeUnregistered() {
        refusedUntil.keySet().removeIf(id -> !registry.replicas().contains(id));
        var addresses = registry.instances().values().stream().map(InstanceEntry::address).toList();
        links.entrySet()
                .removeIf(
                        link -> {
                            boolean gone = !addresses.contains(link.getKey());
                            if (gone) {
                                link.getValue().close();
                            }
                            return gone;
                        });
    }
}
