package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.List;

/**
 * One work item of a stage.
 *
 * @param requestId identifier of the request
 * @param stage number of the stage
 * @param number number of the piece within the stage, from 0
 * @param service service whose replicas compute the piece
 * @param key key to compute the piece from if the piece has no inputs, empty otherwise
 * @param inputs handles of the results of earlier stages that the piece reads
 * @param resultBytes approximate size of the result
 * @param dataCentre preferred data centre for the computation, empty for no preference
 * @param deadlineAt hard limit, in milliseconds: the result is useless afterwards
 * @param dueAt soft limit, in milliseconds: a later result makes the response miss the latency
 *     objective
 * @param priority priority of the request; 0 is the highest
 */
public record Piece(
        String requestId,
        int stage,
        int number,
        String service,
        String key,
        List<String> inputs,
        long resultBytes,
        String dataCentre,
        long deadlineAt,
        long dueAt,
        int priority) {

    public Piece {
        inputs = List.copyOf(inputs);
    }

    /** Returns the piece with its times shifted, to convert them to a clock with another origin. */
    public Piece withTimesShifted(long millis) {
        return new Piece(
                requestId,
                stage,
                number,
                service,
                key,
                inputs,
                resultBytes,
                dataCentre,
                deadlineAt + millis,
                dueAt + millis,
                priority);
    }
}
