package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Selects the replica for a generation request. A replica that has already processed the shared
 * parts of the prompt avoids processing them again; a replica in the data centre that stores the
 * inputs of the request avoids transferring them.
 */
public final class PromptAffinityPlacement {

    /**
     * Bytes transferred between data centres that cost as much as processing one prompt token
     * again, according to the price lists of the users' deployments.
     */
    private static final long TRANSFER_BYTES_PER_TOKEN = 3_300;

    private PromptAffinityPlacement() {}

    /**
     * Selects one of the candidates.
     *
     * @param resultBytes total size of the request's inputs in each data centre
     * @param excludedReplicas replicas that this request has already been sent to
     */
    public static Optional<Replica> select(
            List<Candidate> candidates,
            List<PromptPart> prompt,
            Map<String, Long> resultBytes,
            Set<ReplicaId> excludedReplicas) {
        String affinityKey = lastSharedPartId(prompt);
        Optional<String> preferredDataCentre = preferredDataCentre(prompt, resultBytes);
        if (preferredDataCentre.isPresent()) {
            List<Candidate> localCandidates =
                    candidates.stream()
                            .filter(c -> c.replica().dataCentre().equals(preferredDataCentre.get()))
                            .filter(c -> !c.ejected())
                            .toList();
            Optional<Replica> selectedReplica =
                    ReplicaSelector.HASH_AFFINITY.select(
                            localCandidates, affinityKey, excludedReplicas);
            if (selectedReplica.isPresent() && !isOverloaded(selectedReplica.get(), candidates)) {
                return selectedReplica;
            }
        }
        return ReplicaSelector.HASH_AFFINITY.select(candidates, affinityKey, excludedReplicas);
    }

    /**
     * Returns the identifier of the last part that other requests may share, which is the
     * second-to-last part. The last part contains the new input of this request and is not shared.
     */
    private static String lastSharedPartId(List<PromptPart> prompt) {
        return prompt.isEmpty() ? "" : prompt.get(Math.max(0, prompt.size() - 2)).id();
    }

    /**
     * Returns the data centre that stores most of the inputs, if transferring the inputs costs more
     * than processing the shared parts of the prompt again.
     */
    private static Optional<String> preferredDataCentre(
            List<PromptPart> prompt, Map<String, Long> resultBytes) {
        long sharedTokens =
                prompt.stream()
                        .limit(Math.max(1, prompt.size() - 1L))
                        .mapToLong(PromptPart::tokens)
                        .sum();
        return resultBytes.entrySet().stream()
                .max(Map.Entry.comparingByValue(Comparator.naturalOrder()))
                .filter(
                        largestInput ->
                                largestInput.getValue() > sharedTokens * TRANSFER_BYTES_PER_TOKEN)
                .map(Map.Entry::getKey);
    }

    private static boolean isOverloaded(Replica selectedReplica, List<Candidate> candidates) {
        double limit = ReplicaSelector.loadLimit(candidates);
        return candidates.stream()
                .filter(candidate -> candidate.replica().equals(selectedReplica))
                .anyMatch(candidate -> candidate.load() > limit);
    }
}
