package org.sequoiaspindle.core.fake;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Platform store in virtual time: linearizable reads, watches, history that can be lost, and
 * callers that can be cut off. Counts the calls of each caller. Writes of callers are not
 * supported.
 */
public final class SimulatedStore {

    /** Time after which a call of a caller that is cut off fails, in milliseconds. */
    public static final long TIMEOUT_MS = 1_000;

    private static final long LATENCY_MS = 4;

    private final Timer timer;
    private final TreeMap<String, StoreChange.Written> items = new TreeMap<>();
    private final List<StoreChange> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<Runnable> heldResponses = new ArrayList<>();
    private final Set<String> unreachableCallers = new HashSet<>();
    private final Map<String, Integer> callsByCaller = new HashMap<>();
    private long revision = 1;
    private long historyStart;
    private boolean holding;
    private boolean stalling;

    private record Watch(String caller, long after, CompletableFuture<StoreResult> result) {}

    public SimulatedStore(Timer timer) {
        this.timer = timer;
    }

    public long revision() {
        return revision;
    }

    public int calls(String caller) {
        return callsByCaller.getOrDefault(caller, 0);
    }

    /** Returns the calls of all callers. */
    public int calls() {
        return callsByCaller.values().stream().mapToInt(Integer::intValue).sum();
    }

    public void write(String key, String value) {
        StoreChange.Written change =
                new StoreChange.Written(key, StoreValue.ofString(value), ++revision);
        items.put(key, change);
        history.add(change);
        endWatches();
    }

    public void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new StoreChange.Removed(key, ++revision));
            endWatches();
        }
    }

    /** Discards the history so far. */
    public void compact() {
        history.clear();
        historyStart = revision;
    }

    public void setReachable(String caller, boolean reachable) {
        if (reachable) {
            unreachableCallers.remove(caller);
        } else {
            unreachableCallers.add(caller);
        }
    }

    /** Holds all responses back until the hold ends; reads still happen when the call arrives. */
    public void holdResponses(boolean hold) {
        holding = hold;
        if (!hold) {
            List<Runnable> responses = List.copyOf(heldResponses);
            heldResponses.clear();
            responses.forEach(Runnable::run);
        }
    }

    /** Lets the watches that arrive from now on never end, like a connection that went silent. */
    public void stallWatches(boolean stall) {
        stalling = stall;
    }

    /** Ends all waiting watches with a failure, as if their connections had been reset. */
    public void cutWatches() {
        List<Watch> ended = List.copyOf(watches);
        watches.clear();
        ended.forEach(watch -> watch.result().complete(new StoreResult.Unavailable("cut")));
    }

    public CompletionStage<StoreResult> execute(String caller, StoreCommand command) {
        callsByCaller.merge(caller, 1, Integer::sum);
        CompletableFuture<StoreResult> result = new CompletableFuture<>();
        if (unreachableCallers.contains(caller)) {
            timer.schedule(
                    TIMEOUT_MS, () -> result.complete(new StoreResult.Unavailable("timed out")));
            return result;
        }
        timer.schedule(LATENCY_MS / 2, () -> arrived(caller, command, result));
        return result;
    }

    private void arrived(
            String caller, StoreCommand command, CompletableFuture<StoreResult> result) {
        if (command instanceof StoreCommand.AwaitChanges watch) {
            watchArrived(caller, watch, result);
        } else if (command instanceof StoreCommand.ReadNewer read) {
            StoreChange.Written item = items.get(read.key());
            boolean newer = item != null && item.revision() > read.knownRevision();
            respond(
                    caller,
                    result,
                    new StoreResult.Listed(
                            newer ? Vector.of(item) : Vector.empty(), false, revision));
        } else if (command instanceof StoreCommand.ListItems list) {
            respond(
                    caller,
                    result,
                    new StoreResult.Listed(
                            Vector.ofAll(items.values())
                                    .filter(item -> item.key().startsWith(list.prefix())),
                            false,
                            revision));
        } else {
            throw new IllegalArgumentException("not supported: " + command);
        }
    }

    private void watchArrived(
            String caller, StoreCommand.AwaitChanges watch, CompletableFuture<StoreResult> result) {
        if (stalling) {
            return;
        }
        if (watch.afterRevision() < historyStart) {
            respond(caller, result, new StoreResult.HistoryLost());
        } else if (watch.afterRevision() < revision) {
            respond(caller, result, since(watch.afterRevision()));
        } else {
            Watch waiting = new Watch(caller, watch.afterRevision(), result);
            watches.add(waiting);
            timer.schedule(
                    watch.waitMillis(),
                    () -> {
                        if (watches.remove(waiting)) {
                            respond(caller, result, since(waiting.after()));
                        }
                    });
        }
    }

    private StoreResult since(long after) {
        return new StoreResult.Changed(
                Vector.ofAll(history).filter(change -> change.revision() > after),
                Math.max(after, revision));
    }

    private void endWatches() {
        List<Watch> ended = List.copyOf(watches);
        watches.clear();
        ended.forEach(watch -> respond(watch.caller(), watch.result(), since(watch.after())));
    }

    private void respond(
            String caller, CompletableFuture<StoreResult> result, StoreResult response) {
        Runnable send =
                () ->
                        timer.schedule(
                                LATENCY_MS / 2,
                                () -> {
                                    if (!unreachableCallers.contains(caller)) {
                                        result.complete(response);
                                    }
                                });
        if (holding) {
            heldResponses.add(send);
        } else {
            send.run();
        }
        // A caller that was cut off meanwhile notices by its own time limit.
        timer.schedule(TIMEOUT_MS, () -> result.complete(new StoreResult.Unavailable("timed out")));
    }
}
