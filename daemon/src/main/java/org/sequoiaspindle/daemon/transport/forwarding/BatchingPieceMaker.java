package org.sequoiaspindle.daemon.transport.forwarding;

import io.vavr.collection.LinkedHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
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
import org.sequoiaspindle.core.coordination.forwarding.BatchRule;
import org.sequoiaspindle.core.coordination.forwarding.Piece;
import org.sequoiaspindle.core.coordination.forwarding.PieceSchedule;
import org.sequoiaspindle.core.coordination.forwarding.QueueOutlook;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaChooser.Candidate;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatuses;
import org.sequoiaspindle.core.coordination.forwarding.ResultRoom;
import org.sequoiaspindle.core.protocol.forwarding.PieceMaker;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;

/**
 * Gathers the pieces of one service and has them made in batches. Its state is confined to the
 * event loop of its worker.
 */
final class BatchingPieceMaker implements PieceMaker {

    /**
     * Time for the other pieces of a request to arrive before a call is formed, in milliseconds.
     */
    private static final long GATHER_MS = 2;

    /** Interval at which waiting pieces are looked at again without any news, in milliseconds. */
    private static final long RETRY_MS = 25;

    /** A piece that waits for its batch. */
    private record Waiting(
            Piece piece, BooleanSupplier wanted, CompletableFuture<PieceResult> result) {}

    private final String service;
    private final Worker worker;
    private final Registry registry;
    private final ReplicaStatuses statuses;
    private final PieceCalls calls;
    private final MillisClock clock;
    private final EventLog events;

    /** By identity: equal pieces may be ordered twice, and each order has to be answered. */
    private final Map<Piece, Waiting> waiting = new IdentityHashMap<>();

    private final ResultRoom room = new ResultRoom();

    /** Times until which replicas that refused a call as full are taken for busy. */
    private final Map<ReplicaId, Long> busyUntil = new HashMap<>();

    private QueueOutlook outlook;
    private boolean retryScheduled;
    private boolean soonScheduled;
    private long orderedAt = Long.MIN_VALUE / 2;

    BatchingPieceMaker(
            String service,
            Worker worker,
            Registry registry,
            ReplicaStatuses statuses,
            PieceCalls calls,
            MillisClock clock,
            EventLog events) {
        this.service = service;
        this.worker = worker;
        this.registry = registry;
        this.statuses = statuses;
        this.calls = calls;
        this.clock = clock;
        this.events = events;
        this.outlook = QueueOutlook.initial(clock.now());
    }

    @Override
    public CompletionStage<PieceResult> make(Piece piece, BooleanSupplier wanted) {
        CompletableFuture<PieceResult> result = new CompletableFuture<>();
        worker.loop()
                .execute(
                        () -> {
                            waiting.put(piece, new Waiting(piece, wanted, result));
                            advanceSoon();
                        });
        return result;
    }

    /** Takes notice of results that were given up. */
    void released(Replica maker, List<String> handles) {
        worker.loop()
                .execute(
                        () -> {
                            handles.forEach(handle -> room.released(maker.id(), handle));
                            if (!waiting.isEmpty()) {
                                advanceSoon();
                            }
                        });
    }

    /** Lets what belongs together arrive, and looks at all of it once. */
    private void advanceSoon() {
        if (!soonScheduled) {
            soonScheduled = true;
            worker.loop().schedule(this::advanceNow, GATHER_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void advanceNow() {
        soonScheduled = false;
        advance();
    }

    private void retry() {
        retryScheduled = false;
        advance();
    }

    private void advance() {
        Optional<BatchSpec> spec = registry.table().service(service).flatMap(ServiceSpec::batch);
        List<Replica> replicas = registry.replicas().of(service);
        if (spec.isEmpty() || replicas.isEmpty()) {
            endAll(PieceResult.Reason.NO_REPLICA);
            return;
        }
        advance(spec.get(), replicas);
        if (!waiting.isEmpty() && !retryScheduled) {
            retryScheduled = true;
            worker.loop().schedule(this::retry, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void advance(BatchSpec spec, List<Replica> replicas) {
        List<Candidate> candidates = candidates(spec, replicas);
        boolean free = candidates.stream().anyMatch(c -> BatchRule.isFree(spec, c));
        // Without a free replica the order only shows what to drop, and a long queue is costly.
        if (!free && clock.now() - orderedAt < RETRY_MS) {
            return;
        }
        orderedAt = clock.now();
        dropUnwanted();
        dropHopeless(spec, schedule(spec, candidates));
        while (free && !waiting.isEmpty()) {
            Optional<BatchRule.Batch> batch =
                    BatchRule.next(
                            spec,
                            schedule(spec, candidates),
                            candidates,
                            replica -> room.usedBytes(replica, clock.now()));
            if (batch.isEmpty()) {
                return;
            }
            send(spec, batch.get());
            candidates = candidates(spec, replicas);
        }
    }

    /** Replicas with the calls that this instance has there; others are only seen by refusals. */
    private List<Candidate> candidates(BatchSpec spec, List<Replica> replicas) {
        long now = clock.now();
        return statuses.candidates(replicas, now).stream()
                .map(
                        candidate -> {
                            Replica replica = candidate.replica();
                            boolean busy = busyUntil.getOrDefault(replica.id(), now) > now;
                            int calls = statuses.of(replica).inFlight();
                            return new Candidate(
                                    replica,
                                    busy ? spec.slots() : calls,
                                    candidate.ejected(),
                                    candidate.local());
                        })
                .toList();
    }

    private PieceSchedule schedule(BatchSpec spec, List<Candidate> candidates) {
        List<Candidate> usable = candidates.stream().filter(c -> !c.ejected()).toList();
        PieceSchedule.Capacity capacity =
                new PieceSchedule.Capacity(
                        outlook.piecesPerMilli(spec, usable.size(), clock.now()),
                        countByDataCentre(usable),
                        countByDataCentre(
                                usable.stream().filter(c -> BatchRule.isFree(spec, c)).toList()));
        return PieceSchedule.of(spec, waiting.keySet(), capacity, clock.now());
    }

    private static Map<String, Integer> countByDataCentre(List<Candidate> candidates) {
        return candidates.stream()
                .collect(Collectors.toMap(c -> c.replica().dataCentre(), c -> 1, Integer::sum));
    }

    /** Drops pieces that nobody waits for. */
    private void dropUnwanted() {
        end(
                waiting.values().stream().filter(entry -> !entry.wanted().getAsBoolean()).toList(),
                PieceResult.Reason.LATE);
    }

    /** Drops pieces whose turn would come too late. */
    private void dropHopeless(BatchSpec spec, PieceSchedule schedule) {
        int replicas = registry.replicas().of(service).size();
        end(
                outlook.hopeless(spec, schedule, replicas, clock.now()).stream()
                        .map(waiting::get)
                        .toList(),
                PieceResult.Reason.LATE);
    }

    private void endAll(PieceResult.Reason reason) {
        end(List.copyOf(waiting.values()), reason);
    }

    private void end(List<Waiting> entries, PieceResult.Reason reason) {
        for (Waiting entry : entries) {
            waiting.remove(entry.piece());
            entry.result().complete(new PieceResult.NotMade(reason));
        }
    }

    private void send(BatchSpec spec, BatchRule.Batch batch) {
        List<Waiting> entries = new ArrayList<>();
        batch.pieces().forEach(piece -> entries.add(waiting.remove(piece)));
        ReplicaStatus status = statuses.of(batch.replica());
        status.started();
        long bytes = batch.pieces().stream().mapToLong(Piece::resultBytes).sum();
        room.reserve(batch.replica().id(), bytes);
        long sentAt = clock.now();
        calls.make(spec, batch)
                .thenAccept(
                        outcome -> {
                            status.finished();
                            room.unreserve(batch.replica().id(), bytes);
                            String result = ended(spec, batch.replica(), entries, outcome);
                            record(batch, result, clock.now() - sentAt);
                            advance();
                        });
    }

    /** Takes the end of a call and says for the log what came of it. */
    private String ended(
            BatchSpec spec, Replica replica, List<Waiting> entries, PieceCalls.Outcome outcome) {
        long now = clock.now();
        ReplicaStatus status = statuses.of(replica);
        if (outcome instanceof PieceCalls.Answered answered) {
            status.updateHealth(health -> health.succeeded());
            return answered(spec, replica, entries, answered.results());
        }
        if (outcome instanceof PieceCalls.NotSent notSent) {
            status.updateHealth(health -> health.unreachable(now));
            waitOn(entries);
            return notSent.reason();
        }
        if (outcome instanceof PieceCalls.Full) {
            busyUntil.put(replica.id(), now + (long) spec.callMillis());
            waitOn(entries);
            return "full";
        }
        status.updateHealth(health -> health.failed(now));
        entries.forEach(entry -> complete(entry, PieceResult.Reason.FAILED));
        return ((PieceCalls.Failed) outcome).reason();
    }

    private String answered(
            BatchSpec spec, Replica replica, List<Waiting> entries, List<PieceResult> results) {
        long now = clock.now();
        List<Waiting> withoutRoom = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Waiting entry = entries.get(i);
            PieceResult result = results.get(i);
            if (result.equals(new PieceResult.NotMade(PieceResult.Reason.NO_ROOM))) {
                withoutRoom.add(entry);
                continue;
            }
            if (result instanceof PieceResult.Made made) {
                long lapsesAt = now + spec.resultTtlMillis();
                room.made(replica.id(), made.handle(), entry.piece().resultBytes(), lapsesAt);
            }
            entry.result().complete(result);
        }
        outlook = outlook.completed(entries.size() - withoutRoom.size(), now);
        if (withoutRoom.isEmpty()) {
            return "made";
        }
        room.exhausted(replica.id(), spec.roomBytes(), now);
        waitOn(withoutRoom);
        return "no room for " + withoutRoom.size();
    }

    /** Pieces that were not begun wait for another call. */
    private void waitOn(List<Waiting> entries) {
        entries.forEach(entry -> waiting.put(entry.piece(), entry));
    }

    private void record(BatchRule.Batch batch, String outcome, long durationMillis) {
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
                        waiting.size(),
                        "durationMs",
                        durationMillis,
                        "outcome",
                        outcome));
    }

    private static void complete(Waiting entry, PieceResult.Reason reason) {
        entry.result().complete(new PieceResult.NotMade(reason));
    }
}
