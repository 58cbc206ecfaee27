package org.sequoiaspindle.core.coordination.forwarding;

import java.util.List;

/**
 * One piece of work of a stage.
 *
 * @param requestId request that it belongs to
 * @param stage number of the stage
 * @param number number of the piece within the stage, from 0
 * @param service service whose replicas make it
 * @param key input of a piece without inputs, empty otherwise
 * @param inputs handles of the results that it needs
 * @param resultBytes approximate size of the result
 * @param dataCentre where the result is best made, empty if that does not matter
 * @param deadlineAt time after which the result is of no use, in milliseconds
 * @param dueAt time by which the result should exist for an answer on time, in milliseconds
 * @param priority rank of the request, 0 is the most urgent
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

    /** The same piece with its times moved, for a clock with another origin. */
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
