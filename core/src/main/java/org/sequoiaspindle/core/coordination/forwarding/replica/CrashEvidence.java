package org.sequoiaspindle.core.coordination.forwarding.replica;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.util.List;
import java.util.Optional;
import org.sequoiaspindle.core.state.forwarding.PromptPart;

/**
 * Replicas that crashed before they had answered a request, by the parts of its prompt. A part
 * under which several replicas crashed, and with which no request succeeded since, is taken for the
 * cause. Of several parts that occur in the same requests, the one furthest back in the prompt is
 * taken, since it explains the crashes and rejects the fewest other requests. The evidence comes
 * from all instances. Immutable.
 */
public final class CrashEvidence {

    /**
     * Crashed replicas after which requests with a part are rejected. One crash loses requests with
     * many parts, and two replicas can stop for other reasons under requests with the same part.
     */
    public static final int MIN_CRASHES = 3;

    /**
     * Time from the last of these crashes until requests are rejected, in milliseconds. If many
     * replicas stop at once, a request that succeeds elsewhere clears its parts within this time.
     */
    public static final long SETTLING_MS = 500;

    /**
     * Time after which a crash is forgotten, in milliseconds. Requests with the part are then sent
     * to replicas again, until the next crash under it is reported.
     */
    public static final long TTL_MS = 120_000;

    public static final CrashEvidence EMPTY = new CrashEvidence(HashMap.empty());

    /**
     * Crash of a replica that had a request with a prompt part.
     *
     * @param position position of the part in the prompt, 0 for the first
     */
    public record Crash(String part, int position, String replica) {}

    /** A crash that this instance learned of at a time in milliseconds. */
    private record Sighting(int position, long seenAt) {

        boolean counts(long now) {
            return now - seenAt >= SETTLING_MS && now - seenAt < TTL_MS;
        }
    }

    /** Crashes by part and by replica. */
    private final Map<String, Map<String, Sighting>> crashes;

    private CrashEvidence(Map<String, Map<String, Sighting>> crashes) {
        this.crashes = crashes;
    }

    /** Returns the evidence with a crash; a crash that is known already does not count again. */
    public CrashEvidence with(Crash crash, long now) {
        Map<String, Sighting> crashesOfPart = crashesOf(crash.part());
        return crashesOfPart.containsKey(crash.replica())
                ? this
                : new CrashEvidence(
                        crashes.put(
                                crash.part(),
                                crashesOfPart.put(
                                        crash.replica(), new Sighting(crash.position(), now))));
    }

    public CrashEvidence without(String part, String replica) {
        Map<String, Sighting> crashesOfPart = crashesOf(part).remove(replica);
        return new CrashEvidence(
                crashesOfPart.isEmpty() ? crashes.remove(part) : crashes.put(part, crashesOfPart));
    }

    public CrashEvidence withoutPart(String part) {
        return new CrashEvidence(crashes.remove(part));
    }

    /** Returns evidence of exactly the listed crashes; the times of known ones are kept. */
    public CrashEvidence replacedBy(List<Crash> listed, long now) {
        CrashEvidence result = EMPTY;
        for (Crash crash : listed) {
            long seenAt =
                    crashesOf(crash.part())
                            .get(crash.replica())
                            .map(Sighting::seenAt)
                            .getOrElse(now);
            result = result.with(crash, seenAt);
        }
        return result;
    }

    /** Returns the replicas that crashed under a part. */
    public Set<String> replicasOf(String part) {
        return crashesOf(part).keySet();
    }

    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Returns the first part that is taken for the cause of crashes.
     *
     * @param sharedParts parts of the prompt that other requests may share
     */
    public Optional<String> harmfulPart(List<PromptPart> sharedParts, long now) {
        boolean suspected =
                sharedParts.stream().anyMatch(part -> crashesOf(part.id()).size() >= MIN_CRASHES);
        if (!suspected) {
            return Optional.empty();
        }
        Set<String> harmful = harmfulParts(now);
        return sharedParts.stream().map(PromptPart::id).filter(harmful::contains).findFirst();
    }

    private Set<String> harmfulParts(long now) {
        Set<String> harmful = HashSet.empty();
        Set<String> explained = HashSet.empty();
        for (String part : Vector.ofAll(crashes.keySet()).sortBy(part -> -positionOf(part))) {
            Set<String> replicas =
                    crashesOf(part).filterValues(sighting -> sighting.counts(now)).keySet();
            if (replicas.diff(explained).size() >= MIN_CRASHES) {
                harmful = harmful.add(part);
                explained = explained.union(replicas);
            }
        }
        return harmful;
    }

    private int positionOf(String part) {
        return crashesOf(part).values().map(Sighting::position).max().getOrElse(0);
    }

    private Map<String, Sighting> crashesOf(String part) {
        return crashes.getOrElse(part, HashMap.empty());
    }
}
