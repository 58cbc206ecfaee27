package org.sequoiaspindle.core.protocol.forwarding;

/**
 * Position in a stream of events, each of which ends with an empty line. Immutable.
 *
 * @param insideEvent whether bytes of an event have arrived but not its end
 * @param atLineStart whether the next byte begins a line
 * @param afterCarriageReturn whether a line feed would belong to the line end before it
 */
public record EventStreamPosition(
        boolean insideEvent, boolean atLineStart, boolean afterCarriageReturn) {

    public static final EventStreamPosition START = new EventStreamPosition(false, true, false);

    /** Returns the position after one more byte. */
    public EventStreamPosition after(byte next) {
        if (next == '\n' && afterCarriageReturn) {
            return new EventStreamPosition(insideEvent, atLineStart, false);
        }
        if (next == '\n' || next == '\r') {
            return new EventStreamPosition(insideEvent && !atLineStart, true, next == '\r');
        }
        return new EventStreamPosition(true, false, false);
    }
}
