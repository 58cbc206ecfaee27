package org.sequoiaspindle.daemon.transport.forwarding.piece;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.piece.BatchingInstanceSelector;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.protocol.forwarding.PieceExecutor;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.HandleReleaser;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ResultLocator;

/**
 * Passes pieces to the instance that batches the pieces of the service, and passes handles to be
 * released to the same instance. Works locally if this instance batches for the service, or if the
 * other instance cannot be reached. Thread-safe.
 */
public final class DistributedPieceExecutor implements PieceExecutor, HandleReleaser {

    private final String instanceName;
    private final EventLoopWorker worker;
    private final Registry registry;
    private final PieceExecutor localExecutor;
    private final HandleReleaser localReleaser;
    private final ResultLocator locator;
    private final MillisClock clock;
    private final EventLog events;
    private final Map<HostPort, PieceLink> linksByAddress = new ConcurrentHashMap<>();

    /**
     * Creates an executor without links to other instances.
     *
     * @param instanceName name of this instance
     * @param localExecutor executes pieces from this instance
     * @param localReleaser releases results from this instance
     */
    public DistributedPieceExecutor(
            String instanceName,
            EventLoopWorker worker,
            Registry registry,
            PieceExecutor localExecutor,
            HandleReleaser localReleaser,
            ResultLocator locator,
            MillisClock clock,
            EventLog events) {
        this.instanceName = instanceName;
        this.worker = worker;
        this.registry = registry;
        this.localExecutor = localExecutor;
        this.localReleaser = localReleaser;
        this.locator = locator;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public List<CompletionStage<PieceResult>> execute(
            List<Piece> pieces, BooleanSupplier isNeeded) {
        Optional<InstanceEntry> batchingInstance = otherBatchingInstance(pieces.get(0).service());
        if (batchingInstance.isEmpty()) {
            return localExecutor.execute(pieces, isNeeded);
        }
        List<CompletableFuture<PieceResult>> results =
                pieces.stream().map(piece -> new CompletableFuture<PieceResult>()).toList();
        PieceLink link = link(batchingInstance.get().address());
        worker.loop()
                .execute(
                        () -> {
                            for (int i = 0; i < pieces.size(); i++) {
                                link.request(pieces.get(i), isNeeded, results.get(i));
                            }
                        });
        return List.copyOf(results);
    }

    @Override
    public void release(List<String> handles) {
        Map<Optional<InstanceEntry>, List<String>> byInstance =
                handles.stream().collect(Collectors.groupingBy(this::batchingInstanceOf));
        byInstance.forEach(
                (instance, handlesOfInstance) -> {
                    if (instance.isEmpty()) {
                        localReleaser.release(handlesOfInstance);
                        return;
                    }
                    PieceLink link = link(instance.get().address());
                    worker.loop()
                            .execute(
                                    () -> {
                                        if (!link.release(handlesOfInstance)) {
                                            localReleaser.release(handlesOfInstance);
                                        }
                                    });
                });
    }

    private Optional<InstanceEntry> batchingInstanceOf(String handle) {
        return locator.replicaOf(handle).map(Replica::service).flatMap(this::otherBatchingInstance);
    }

    /**
     * Returns the instance that batches the pieces of a service, or empty if this instance does.
     */
    private Optional<InstanceEntry> otherBatchingInstance(String service) {
        return BatchingInstanceSelector.select(
                        service,
                        registry.instances().values(),
                        peer -> peer.name().equals(instanceName) || link(peer.address()).isUsable())
                .filter(instance -> !instance.name().equals(instanceName));
    }

    private PieceLink link(HostPort address) {
        return linksByAddress.computeIfAbsent(
                address,
                peer ->
                        new PieceLink(
                                peer,
                                worker.loop(),
                                clock,
                                events,
                                this::executeLocally,
                                () -> isRegistered(peer),
                                () -> linksByAddress.remove(peer)));
    }

    private boolean isRegistered(HostPort address) {
        return registry.instances().values().stream()
                .anyMatch(peer -> peer.address().equals(address));
    }

    private void executeLocally(
            Piece piece, BooleanSupplier isNeeded, CompletableFuture<PieceResult> result) {
        localExecutor.execute(piece, isNeeded).thenAccept(result::complete);
    }
}
