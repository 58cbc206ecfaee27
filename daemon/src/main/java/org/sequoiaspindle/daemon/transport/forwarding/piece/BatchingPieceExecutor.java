package org.sequoiaspindle.daemon.transport.forwarding.piece;

import io.vavr.collection.LinkedHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.piece.BatchSelection;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.coordination.forwarding.piece.PieceSchedule;
import org.sequoiaspindle.core.coordination.forwarding.piece.QueueWaitPredictor;
import org.sequoiaspindle.core.coordination.forwarding.piece.ResultMemoryTracker;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.PieceExecutor;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;
import org.sequoiaspindle.daemon.transport.forwarding.piece.PendingPieces.PendingPiece;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;

/**
 * Queues the pieces of one service and sends them to replicas in batches. Its state is confined to
 * the event loop of its worker.
 */
public final class BatchingPieceExecutor implements PieceExecutor {

    /** Delay of a batch in milliseconds, so that it includes pieces of several requests. */
    private static final long BATCH_DELAY_MS = 2;

    /** Maximum interval at which a queue with pieces is processed, in milliseconds. */
    private static final long RECHECK_INTERVAL_MS = 25;

    private final String service;
    private final EventLoopWorker worker;
    private final Registry registry;
    private final ReplicaStatuses statuses;
    private final ReplicaPieceClient pieceClient;
    private final MillisClock clock;
    private final EventLog events;

    private final PendingPieces queuedPieces = new PendingPieces();
    private final ResultMemoryTracker resultMemory = new ResultMemoryTracker();

    /** Time until which a replica that rejected a call for lack of capacity counts as busy. */
    private final Map<ReplicaId, Long> busyUntil = new HashMap<>();

    private QueueWaitPredictor waitPredictor;
    private boolean recheckScheduled;
    private boolean delayedDispatchScheduled;
    private long lastScheduledAt = Long.MIN_VALUE / 2;

    public BatchingPieceExecutor(
            String service,
            EventLoopWorker worker,
            Registry registry,
            ReplicaStatuses statuses,
            ReplicaPieceClient pieceClient,
            MillisClock clock,
            EventLog events) {
        this.service = service;
        this.worker = worker;
        this.registry = registry;
        this.statuses = statuses;
        this.pieceClient = pieceClient;
        this.clock = clock;
        this.events = events;
        this.waitPredictor = QueueWaitPredictor.initial(clock.now());
    }

    @Override
    public List<CompletionStage<PieceResult>> execute(
            List<Piece> pieces, BooleanSupplier isNeeded) {
        List<PendingPiece> pending =
                pieces.stream()
                        .map(piece -> new PendingPiece(piece, isNeeded, new CompletableFuture<>()))
                        .toList();
        worker.loop()
                .execute(
                        () -> {
                            queuedPieces.addAll(pending);
                            dispatchSoon();
                        });
        return pending.stream().<CompletionStage<PieceResult>>map(PendingPiece::result).toList();
    }

    /** Records that a call to release results at the replica has ended. */
    void resultsReleased(Replica replica, List<String> handles) {
        worker.loop()
                .execute(
                        () -> {
                            handles.forEach(
                                    handle -> resultMemory.recordReleased(replica.id(), handle));
                            if (!queuedPieces.isEmpty()) {
                                dispatchSoon();
                            }
                        });
    }

    /** Processes the queue after a delay, during which pieces of other requests can arrive. */
    private void dispatchSoon() {
        if (!delayedDispatchScheduled) {
            delayedDispatchScheduled = true;
            worker.loop().schedule(this::dispatchAfterDelay, BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void dispatchAfterDelay() {
        delayedDispatchScheduled = false;
        dispatch();
    }

    private void recheck() {
        recheckScheduled = false;
        dispatch();
    }

    private void dispatch() {
        Optional<BatchSpec> spec =
                registry.configuration().service(service).flatMap(ServiceSpec::batch);
        List<Replica> replicas =
                statuses.withoutRestricted(registry.replicas().replicasOf(service), clock.now());
        if (spec.isEmpty() || replicas.isEmpty()) {
            queuedPieces.failAll(PieceResult.Reason.NO_REPLICA);
            return;
        }
        dispatch(spec.get(), replicas);
        if (!queuedPieces.isEmpty() && !recheckScheduled) {
            recheckScheduled = true;
            worker.loop().schedule(this::recheck, RECHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void dispatch(BatchSpec spec, List<Replica> replicas) {
        List<Candidate> candidates = candidates(spec, replicas);
        // Without a free replica the schedule only identifies pieces to drop.
        if (!hasFreeReplica(spec, candidates)
                && clock.now() - lastScheduledAt < RECHECK_INTERVAL_MS) {
            return;
        }
        lastScheduledAt = clock.now();
        queuedPieces.dropUnneeded();
        PieceSchedule schedule = schedule(spec, candidates);
        if (dropUnservablePieces(spec, schedule, replicas)) {
            schedule = schedule(spec, candidates);
        }
        sendBatches(spec, replicas, candidates, schedule);
    }

    private void sendBatches(
            BatchSpec spec,
            List<Replica> replicas,
            List<Candidate> initialCandidates,
            PieceSchedule initialSchedule) {
        List<Candidate> candidates = initialCandidates;
        PieceSchedule schedule = initialSchedule;
        while (!queuedPieces.isEmpty() && hasFreeReplica(spec, candidates)) {
            Optional<BatchSelection.Batch> batch =
                    BatchSelection.nextBatch(
                            spec,
                            schedule,
                            candidates,
                            replica -> resultMemory.usedBytes(replica, clock.now()));
            if (batch.isEmpty()) {
                return;
            }
            send(spec, batch.get());
            candidates = candidates(spec, replicas);
            if (hasFreeReplica(spec, candidates)) {
                schedule = schedule(spec, candidates);
            }
        }
    }

    private static boolean hasFreeReplica(BatchSpec spec, List<Candidate> candidates) {
        return candidates.stream().anyMatch(c -> BatchSelection.hasFreeSlot(spec, c));
    }

    /**
     * Returns the replicas with the number of this instance's calls in flight as the load. Calls of
     * other instances become known only when a replica rejects a call.
     */
    private List<Candidate> candidates(BatchSpec spec, List<Replica> replicas) {
        long now = clock.now();
        return statuses.candidates(replicas, now).stream()
                .map(
                        candidate -> {
                            Replica replica = candidate.replica();
                            boolean busy = busyUntil.getOrDefault(replica.id(), now) > now;
                            return new Candidate(
                                    replica,
                                    busy ? spec.slots() : statuses.statusOf(replica).inFlight(),
                                    candidate.ejected(),
                                    candidate.local(),
                                    candidate.capacity());
                        })
                .sorted(Candidate.FASTEST_FIRST)
                .toList();
    }

    private PieceSchedule schedule(BatchSpec spec, List<Candidate> candidates) {
        List<Candidate> usableCandidates = candidates.stream().filter(c -> !c.ejected()).toList();
        PieceSchedule.Capacity capacity =
                new PieceSchedule.Capacity(
                        waitPredictor.piecesPerMilli(
                                spec,
                                usableCandidates.stream().mapToDouble(Candidate::capacity).sum(),
                                clock.now()),
                        countByDataCentre(usableCandidates),
                        countByDataCentre(
                                usableCandidates.stream()
                                        .filter(c -> BatchSelection.hasFreeSlot(spec, c))
                                        .toList()));
        return PieceSchedule.of(spec, queuedPieces.queue(), capacity, clock.now());
    }

    private static Map<String, Integer> countByDataCentre(List<Candidate> candidates) {
        return candidates.stream()
                .collect(Collectors.toMap(c -> c.replica().dataCentre(), c -> 1, Integer::sum));
    }

    /**
     * Drops pieces that cannot complete before their deadlines.
     *
     * @return whether there were any
     */
    private boolean dropUnservablePieces(
            BatchSpec spec, PieceSchedule schedule, List<Replica> replicas) {
        long now = clock.now();
        long firstCallAt = now + statuses.millisUntilAvailable(replicas, now).orElse(0);
        List<Piece> unservablePieces =
                waitPredictor.findUnservable(
                        spec, schedule, statuses.totalCapacity(replicas, now), firstCallAt);
        queuedPieces.fail(unservablePieces, PieceResult.Reason.LATE);
        return !unservablePieces.isEmpty();
    }

    private void send(BatchSpec spec, BatchSelection.Batch batch) {
        List<PendingPiece> pending = queuedPieces.take(batch.pieces());
        ReplicaStatus status = statuses.statusOf(batch.replica());
        status.requestStarted();
        long bytes = batch.pieces().stream().mapToLong(Piece::resultBytes).sum();
        resultMemory.reserve(batch.replica().id(), bytes);
        long sentAt = clock.now();
        pieceClient
                .execute(spec, batch)
                .thenAccept(
                        outcome -> {
                            status.requestFinished();
                            resultMemory.unreserve(batch.replica().id(), bytes);
                            String result = handleOutcome(spec, batch.replica(), pending, outcome);
                            record(batch, result, clock.now() - sentAt);
                            dispatch();
                        });
    }

    /** Handles the end of a call and returns a description of the outcome for the log. */
    private String handleOutcome(
            BatchSpec spec,
            Replica replica,
            List<PendingPiece> pending,
            ReplicaPieceClient.Outcome outcome) {
        long now = clock.now();
        ReplicaStatus status = statuses.statusOf(replica);
        if (outcome instanceof ReplicaPieceClient.Responded responded) {
            status.updateHealth(health -> health.afterSuccess());
            return handleResults(spec, replica, pending, responded.results());
        }
        if (outcome instanceof ReplicaPieceClient.NotSent notSent) {
            // A replica that was closed meanwhile was not called, so it has not failed.
            if (statuses.acceptsCalls(replica, now)) {
                status.updateHealth(health -> health.afterConnectFailure(now));
            }
            queuedPieces.addAll(pending);
            return notSent.reason();
        }
        if (outcome instanceof ReplicaPieceClient.Busy) {
            busyUntil.put(replica.id(), now + (long) spec.callOverheadMillis());
            queuedPieces.addAll(pending);
            return "full";
        }
        status.updateHealth(health -> health.afterFailure(now));
        PendingPieces.complete(pending, PieceResult.Reason.FAILED);
        return ((ReplicaPieceClient.Failed) outcome).reason();
    }

    private String handleResults(
            BatchSpec spec,
            Replica replica,
            List<PendingPiece> pending,
            List<PieceResult> results) {
        long now = clock.now();
        List<PendingPiece> piecesWithoutMemory = new ArrayList<>();
        for (int i = 0; i < pending.size(); i++) {
            PendingPiece pendingPiece = pending.get(i);
            PieceResult result = results.get(i);
            if (result.equals(new PieceResult.NotCompleted(PieceResult.Reason.NO_ROOM))) {
                piecesWithoutMemory.add(pendingPiece);
                continue;
            }
            if (result instanceof PieceResult.Completed completed) {
                long expiresAt = now + spec.resultTtlMillis();
                resultMemory.recordStored(
                        replica.id(),
                        completed.handle(),
                        pendingPiece.piece().resultBytes(),
                        expiresAt);
            }
            pendingPiece.result().complete(result);
        }
        waitPredictor = waitPredictor.afterCall(pending.size() - piecesWithoutMemory.size(), now);
        if (piecesWithoutMemory.isEmpty()) {
            return "made";
        }
        resultMemory.recordExhausted(replica.id(), spec.resultMemoryBytes(), now);
        queuedPieces.addAll(piecesWithoutMemory);
        return "no room for " + piecesWithoutMemory.size();
    }

    private void record(BatchSelection.Batch batch, String outcome, long durationMillis) {
        events.record(
                LogEvent.PIECES_MADE,
                LinkedHashMap.of(
                        "service",
                        service,
                        "endpoint",
                        batch.replica().id().toString(),
                        "pieces",
                        batch.pieces().size(),
                        "waiting",
                        queuedPieces.size(),
                        "durationMs",
                        durationMillis,
                        "outcome",
                        outcome));
    }
}
