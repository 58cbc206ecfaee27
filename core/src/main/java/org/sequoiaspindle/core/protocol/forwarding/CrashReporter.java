package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence.Crash;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Shares with all instances, through the platform's store, which replicas crashed under which
 * prompt parts, and withdraws the evidence against a part with which a request succeeds.
 * Thread-safe.
 */
public final class CrashReporter {

    /**
     * Time from the loss of a request until its replica is checked, in milliseconds. Requests that
     * succeed meanwhile clear the parts that many requests share.
     */
    static final long CONFIRMATION_DELAY_MS = 400;

    /** Delay before a failed write is repeated, in milliseconds. */
    static final long RETRY_DELAY_MS = 500;

    private static final int MAX_WRITES = 5;

    /** Limit of the platform's store for one transaction. */
    private static final int MAX_KEYS_PER_WRITE = 32;

    /** Checks whether a replica still accepts connections. */
    @FunctionalInterface
    public interface ReplicaCheck {

        CompletionStage<Boolean> isAlive(Replica replica);
    }

    private final Registry registry;
    private final Store store;
    private final ReplicaCheck check;
    private final Timer timer;
    private final EventLog events;

    /** Positions of the parts of lost requests, by part, of replicas not checked yet. */
    private final AtomicReference<Map<Replica, Map<String, Integer>>> unconfirmed =
            new AtomicReference<>(HashMap.empty());

    /** Parts whose evidence is being withdrawn. */
    private final java.util.Set<String> withdrawing = ConcurrentHashMap.newKeySet();

    /**
     * Creates a reporter.
     *
     * @param store executes the writes
     */
    public CrashReporter(
            Registry registry, Store store, ReplicaCheck check, Timer timer, EventLog events) {
        this.registry = registry;
        this.store = store;
        this.check = check;
        this.timer = timer;
        this.events = events;
    }

    /**
     * Records a request whose connection ended before the first complete event.
     *
     * @param sharedParts parts of its prompt that other requests may share
     */
    public void requestLost(Replica replica, List<PromptPart> sharedParts) {
        Map<String, Integer> positions = positionsByPart(sharedParts);
        if (positions.isEmpty()) {
            return;
        }
        Map<Replica, Map<String, Integer>> before =
                unconfirmed.getAndUpdate(
                        current ->
                                current.put(
                                        replica,
                                        positions.merge(
                                                current.getOrElse(replica, HashMap.empty()))));
        if (!before.containsKey(replica)) {
            timer.schedule(CONFIRMATION_DELAY_MS, () -> checkReplica(replica));
        }
    }

    /** Records a request that a replica answered completely. */
    public void requestServed(List<PromptPart> sharedParts) {
        CrashEvidence evidence = registry.crashEvidence();
        if (evidence.isEmpty() && unconfirmed.get().isEmpty()) {
            return;
        }
        for (PromptPart part : sharedParts) {
            unconfirmed.updateAndGet(
                    current -> current.mapValues(positions -> positions.remove(part.id())));
            if (!evidence.replicasOf(part.id()).isEmpty() && withdrawing.add(part.id())) {
                withdraw(part.id(), evidence.replicasOf(part.id()));
            }
        }
    }

    private static Map<String, Integer> positionsByPart(List<PromptPart> parts) {
        Map<String, Integer> positions = HashMap.empty();
        for (int position = 0; position < parts.size(); position++) {
            if (CrashEvidenceKeys.isTrackable(parts.get(position).id())) {
                positions = positions.put(parts.get(position).id(), position);
            }
        }
        return positions;
    }

    private void checkReplica(Replica replica) {
        Invariants.reportFailure(
                check.isAlive(replica)
                        .thenAccept(
                                alive -> {
                                    Map<String, Integer> positions =
                                            unconfirmed
                                                    .getAndUpdate(
                                                            current -> current.remove(replica))
                                                    .getOrElse(replica, HashMap.empty());
                                    if (!alive && !positions.isEmpty()) {
                                        report(replica, positions.take(MAX_KEYS_PER_WRITE));
                                    }
                                }));
    }

    private void report(Replica replica, Map<String, Integer> positions) {
        String replicaName = CrashEvidenceKeys.safeName(replica.id().toString());
        Set<Crash> crashes =
                positions.map(entry -> new Crash(entry._1(), entry._2(), replicaName)).toSet();
        crashes.forEach(registry::recordCrash);
        events.record(
                LogEvent.PROMPT_PART_SUSPECTED,
                HashMap.of(
                        "endpoint", replicaName, "promptParts", positions.keySet().mkString(",")));
        write(crashes, MAX_WRITES);
    }

    private void write(Set<Crash> crashes, int writesLeft) {
        Invariants.reportFailure(
                store.execute(new StoreCommand.CreateLease(CrashEvidence.TTL_MS))
                        .thenCompose(
                                result ->
                                        result instanceof StoreResult.LeaseCreated created
                                                ? store.execute(entries(crashes, created.lease()))
                                                : CompletableFuture.completedFuture(result))
                        .thenAccept(
                                result -> {
                                    if (!(result instanceof StoreResult.Swapped)) {
                                        writeFailed(crashes, writesLeft - 1, result);
                                    }
                                }));
    }

    private void writeFailed(Set<Crash> crashes, int writesLeft, StoreResult failure) {
        if (writesLeft > 0) {
            timer.schedule(RETRY_DELAY_MS, () -> write(crashes, writesLeft));
            return;
        }
        events.record(
                LogEvent.CRASH_EVIDENCE_NOT_SHARED, HashMap.of("reason", String.valueOf(failure)));
    }

    private StoreCommand entries(Set<Crash> crashes, long lease) {
        return new StoreCommand.WriteAll(
                crashes.toJavaMap(
                        crash ->
                                Tuple.of(
                                        CrashEvidenceKeys.key(crash),
                                        CrashEvidenceKeys.value(crash))),
                lease);
    }

    private void withdraw(String part, Set<String> replicas) {
        events.record(LogEvent.PROMPT_PART_CLEARED, HashMap.of("promptPart", part));
        registry.removeCrashes(part);
        StoreCommand removal =
                new StoreCommand.DeleteAll(
                        replicas.take(MAX_KEYS_PER_WRITE)
                                .map(replica -> CrashEvidenceKeys.key(part, replica))
                                .toJavaSet());
        Invariants.reportFailure(
                store.execute(removal).thenAccept(result -> withdrawing.remove(part)));
    }
}
