package org.sequoiaspindle.daemon.transport.forwarding;

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
import org.sequoiaspindle.core.coordination.forwarding.Piece;
import org.sequoiaspindle.core.coordination.forwarding.PieceOwners;
import org.sequoiaspindle.core.protocol.forwarding.PieceMaker;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.PeerInstance;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Has pieces made, and their results given up, by the instance that gathers those of their service,
 * or here if that is this one or cannot be reached. Thread-safe.
 */
final class GatheringPieceMaker implements PieceMaker, Releaser {

    private final String self;
    private final Worker worker;
    private final Registry registry;
    private final PieceMaker local;
    private final Releaser localReleaser;
    private final ResultLocator locator;
    private final MillisClock clock;
    private final EventLog events;
    private final Map<HostPort, PieceLink> links = new ConcurrentHashMap<>();

    /**
     * Gathers nothing yet.
     *
     * @param self name of this instance
     * @param local makes pieces here
     * @param localReleaser gives up results from here
     */
    GatheringPieceMaker(
            String self,
            Worker worker,
            Registry registry,
            PieceMaker local,
            Releaser localReleaser,
            ResultLocator locator,
            MillisClock clock,
            EventLog events) {
        this.self = self;
        this.worker = worker;
        this.registry = registry;
        this.local = local;
        this.localReleaser = localReleaser;
        this.locator = locator;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public CompletionStage<PieceResult> make(Piece piece, BooleanSupplier wanted) {
        Optional<PeerInstance> other = otherOwner(piece.service());
        if (other.isEmpty()) {
            return local.make(piece, wanted);
        }
        CompletableFuture<PieceResult> result = new CompletableFuture<>();
        PieceLink link = link(other.get().address());
        worker.loop().execute(() -> link.order(piece, wanted, result));
        return result;
    }

    @Override
    public void release(List<String> handles) {
        Map<Optional<PeerInstance>, List<String>> byOwner =
                handles.stream().collect(Collectors.groupingBy(this::ownerOf));
        byOwner.forEach(
                (owner, owned) -> {
                    if (owner.isEmpty()) {
                        localReleaser.release(owned);
                        return;
                    }
                    PieceLink link = link(owner.get().address());
                    worker.loop()
                            .execute(
                                    () -> {
                                        if (!link.release(owned)) {
                                            localReleaser.release(owned);
                                        }
                                    });
                });
    }

    private Optional<PeerInstance> ownerOf(String handle) {
        return locator.maker(handle).map(Replica::service).flatMap(this::otherOwner);
    }

    /** The instance that gathers the pieces of a service, unless it is this one. */
    private Optional<PeerInstance> otherOwner(String service) {
        return PieceOwners.owner(
                        service,
                        registry.peers().values(),
                        peer -> peer.name().equals(self) || link(peer.address()).isTrusted())
                .filter(owner -> !owner.name().equals(self));
    }

    private PieceLink link(HostPort address) {
        return links.computeIfAbsent(
                address,
                peer ->
                        new PieceLink(
                                peer,
                                worker.loop(),
                                clock,
                                events,
                                this::makeHere,
                                () -> isRegistered(peer),
                                () -> links.remove(peer)));
    }

    private boolean isRegistered(HostPort address) {
        return registry.peers().values().stream().anyMatch(peer -> peer.address().equals(address));
    }

    private void makeHere(
            Piece piece, BooleanSupplier wanted, CompletableFuture<PieceResult> result) {
        local.make(piece, wanted).thenAccept(result::complete);
    }
}
