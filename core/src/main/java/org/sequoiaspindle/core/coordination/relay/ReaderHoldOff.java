package org.sequoiaspindle.core.coordination.relay;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Readers that failed recently and are not asked for a while. The time doubles with each failure in
 * a row, so that a reader without a way to the store costs its followers little. Immutable.
 */
public record ReaderHoldOff(Map<String, Failures> failuresByReader) {

    /** Time for which a reader is not asked after its first failure, in milliseconds. */
    static final long FIRST_HOLD_OFF_MS = 3_000;

    /** Longest time for which a reader is not asked, in milliseconds. */
    static final long MAX_HOLD_OFF_MS = 12_000;

    public static final ReaderHoldOff NONE = new ReaderHoldOff(HashMap.empty());

    /**
     * Failures in a row.
     *
     * @param holdOffMillis current length of the hold-off, in milliseconds
     * @param until time at which the reader is asked again, in milliseconds
     */
    record Failures(long holdOffMillis, long until) {}

    public boolean isHeldOff(String reader, long now) {
        return failuresByReader.get(reader).exists(failures -> failures.until() > now);
    }

    public ReaderHoldOff withFailure(String reader, long now) {
        long holdOff =
                failuresByReader
                        .get(reader)
                        .map(failures -> Math.min(MAX_HOLD_OFF_MS, 2 * failures.holdOffMillis()))
                        .getOrElse(FIRST_HOLD_OFF_MS);
        return new ReaderHoldOff(
                failuresByReader.put(reader, new Failures(holdOff, now + holdOff)));
    }

    public ReaderHoldOff withSuccess(String reader) {
        return failuresByReader.containsKey(reader)
                ? new ReaderHoldOff(failuresByReader.remove(reader))
                : this;
    }
}
