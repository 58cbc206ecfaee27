package org.sequoiaspindle.core.coordination.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaChooser.Candidate;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Chooses the replica that generates. A replica that has read the shared parts of the prompt saves
 * that work; one in the data centre of the request's results saves moving them.
 */
public final class Placement {

    /**
     * Bytes moved between data centres that weigh as much as one prompt token read again; from the
     * price lists of the users' deployments.
     */
    private static final long BYTES_PER_TOKEN = 3_300;

    private Placement() {}

    /**
     * Chooses one of the candidates.
     *
     * @param resultBytes size of the request's inputs by the data centre that holds them
     * @param excluded replicas that this request has been sent to before
     */
    public static Optional<Replica> choose(
            List<Candidate> candidates,
            List<PromptPart> prompt,
            Map<String, Long> resultBytes,
            Set<ReplicaId> excluded) {
        String affinity = lastShared(prompt);
        Optional<String> near = resultsWorthStayingNear(prompt, resultBytes);
        if (near.isPresent()) {
            List<Candidate> local =
                    candidates.stream()
                            .filter(c -> c.replica().dataCentre().equals(near.get()))
                            .filter(c -> !c.ejected())
                            .toList();
            Optional<Replica> chosen = ReplicaChooser.AFFINE.choose(local, affinity, excluded);
            if (chosen.isPresent() && !isCrowded(chosen.get(), candidates)) {
                return chosen;
            }
        }
        return ReplicaChooser.AFFINE.choose(candidates, affinity, excluded);
    }

    /**
     * The last part that other requests may have in common with this one. The very last part holds
     * what is new in the request, so that its identifier says nothing about where to go.
     */
    private static String lastShared(List<PromptPart> prompt) {
        return prompt.isEmpty() ? "" : prompt.get(Math.max(0, prompt.size() - 2)).id();
    }

    /** Data centre with most of the results, if moving them costs more than reading again. */
    private static Optional<String> resultsWorthStayingNear(
            List<PromptPart> prompt, Map<String, Long> resultBytes) {
        long shared =
                prompt.stream()
                        .limit(Math.max(1, prompt.size() - 1L))
                        .mapToLong(PromptPart::tokens)
                        .sum();
        return resultBytes.entrySet().stream()
                .max(Map.Entry.comparingByValue(Comparator.naturalOrder()))
                .filter(most -> most.getValue() > shared * BYTES_PER_TOKEN)
                .map(Map.Entry::getKey);
    }

    private static boolean isCrowded(Replica chosen, List<Candidate> candidates) {
        double limit = ReplicaChooser.loadLimit(candidates);
        return candidates.stream()
                .filter(candidate -> candidate.replica().equals(chosen))
                .anyMatch(candidate -> candidate.load() > limit);
    }
}
