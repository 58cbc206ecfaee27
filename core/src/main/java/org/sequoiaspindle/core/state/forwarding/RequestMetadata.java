package org.sequoiaspindle.core.state.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * What the head of a client's request says about the request.
 *
 * @param id identifier of this attempt of the client
 * @param host host that the client named, without a port
 * @param path path without the query
 * @param timeoutMillis how long the client will wait, from the arrival of the request
 * @param key API key of the caller
 * @param promptParts parts of the prompt in order
 * @param promptTokens length of the prompt, 0 if the request has none
 * @param maxOutputTokens largest number of tokens to generate
 * @param pieceCounts pieces that each stage has, by number of the stage
 * @param pieceKey input of the stages that follow no other stage
 */
public record RequestMetadata(
        String id,
        String host,
        String path,
        long timeoutMillis,
        Optional<String> key,
        List<PromptPart> promptParts,
        long promptTokens,
        long maxOutputTokens,
        List<Integer> pieceCounts,
        Optional<String> pieceKey) {

    public RequestMetadata {
        promptParts = List.copyOf(promptParts);
        pieceCounts = List.copyOf(pieceCounts);
    }

    /** Pieces of a stage; a stage that the request does not mention has none. */
    public int pieceCount(int stage) {
        return stage < pieceCounts.size() ? pieceCounts.get(stage) : 0;
    }
}
