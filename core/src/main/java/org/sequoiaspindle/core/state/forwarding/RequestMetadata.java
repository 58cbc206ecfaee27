package org.sequoiaspindle.core.state.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * Properties of a client's request that are stated in its head.
 *
 * @param id identifier of this attempt by the client
 * @param host requested host, without a port
 * @param path requested path, without the query
 * @param timeoutMillis how long the client will wait, from the arrival of the request
 * @param apiKey API key of the client
 * @param promptParts parts of the prompt in order
 * @param promptTokens length of the prompt, 0 if the request has no prompt
 * @param maxOutputTokens maximum number of tokens to generate
 * @param pieceCounts number of pieces of each stage, indexed by stage number
 * @param pieceKey key that the pieces of stages without dependencies are computed from
 */
public record RequestMetadata(
        String id,
        String host,
        String path,
        long timeoutMillis,
        Optional<String> apiKey,
        List<PromptPart> promptParts,
        long promptTokens,
        long maxOutputTokens,
        List<Integer> pieceCounts,
        Optional<String> pieceKey) {

    public RequestMetadata {
        promptParts = List.copyOf(promptParts);
        pieceCounts = List.copyOf(pieceCounts);
    }

    /** Returns the parts of the prompt that other requests may share: all but the last. */
    public List<PromptPart> sharedPromptParts() {
        return promptParts.subList(0, Math.max(0, promptParts.size() - 1));
    }

    /** Returns the number of pieces of a stage, 0 for a stage that the request does not mention. */
    public int pieceCount(int stage) {
        return stage < pieceCounts.size() ? pieceCounts.get(stage) : 0;
    }
}
