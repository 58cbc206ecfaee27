package org.sequoiaspindle.core.coordination.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Chooses the replica that generates. A replica that has read the shared parts of the prompt saves
 * that work; one in the data centre of the request's results saves moving them.
 */
public final class PromptAffinityPlacement {

    /**
     * Bytes moved between data centres that weigh as much as one prompt token read again; from the
     * price lists of the users' deployments.
     */
    private static final long TRANSFER_BYTES_PER_TOKEN = 3_300;

    private PromptAffinityPlacement() {}

    /**
     * Chooses one of the candidates.
     *
     * @param resultBytes size of the request's inputs by the data centre that holds them
     * @param excluded replicas that this request has been sent to before
     */
    public static Optional<Replica> select(
            List<Candidate> candidates,
            List<PromptPart> prompt,
            Map<String, Long> resultBytes,
            Set<ReplicaId> excluded) {
        String affinityKey = lastSharedPartId(prompt);
        Optional<String> preferredDataCentre = preferredDataCentre(prompt, resultBytes);
        if (preferredDataCentre.isPresent()) {
            List<Candidate> local =
                    candidates.stream()
                            .filter(c -> c.replica().dataCentre().equals(preferredDataCentre.get()))
                            .filter(c -> !c.ejected())
                            .toList();
            Optional<Replica> chosen =
                    ReplicaSelector.HASH_AFFINITY.select(local, affinityKey, excluded);
            if (chosen.isPresent() && !isOverloaded(chosen.get(), candidates)) {
                return chosen;
            }
        }
        return ReplicaSelector.HASH_AFFINITY.select(candidates, affinityKey, excluded);
    }

    /**
     * The last part that other requests may have in common with this one. The very last part holds
     * what is new in the request, so that its identifier says nothing about where to go.
     */
    private static String lastSharedPartId(List<PromptPart> prompt) {
        return prompt.isEmpty() ? "" : prompt.get(Math.max(0, prompt.size() - 2)).id();
    }

    /** Data centre with most of the results, if moving them costs more than reading again. */
    private static Optional<String> preferredDataCentre(
            List<PromptPart> prompt, Map<String, Long> resultBytes) {
        long sharedTokens =
                prompt.stream()
                        .limit(Math.max(1, prompt.size() - 1L))
                        .mapToLong(PromptPart::tokens)
                        .sum();
        return resultBytes.entrySet().stream()
                .max(Map.Entry.comparingByValue(Comparator.naturalOrder()))
                .filter(largest -> largest.getValue() > sharedTokens * TRANSFER_BYTES_PER_TOKEN)
                .map(Map.Entry::getKey);
    }

    private static boolean isOverloaded(Replica chosen, List<Candidate> candidates) {
        double limit = ReplicaSelector.loadLimit(candidates);
        return candidates.stream()
                .filter(candidate -> candidate.replica().equals(chosen))
                .anyMatch(candidate -> candidate.load() > limit);
    }
}
