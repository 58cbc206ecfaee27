package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.StreamedToken;

/**
 * Checks a streamed answer event by event: positions rise by one from 0 and the outcome comes last.
 * Each event gives a new value.
 *
 * @param nextPosition position that the next token must have
 * @param outcome the outcome event, once it has come
 * @param faults violations so far
 */
public record StreamCheck(long nextPosition, Option<RequestReport> outcome, Vector<String> faults) {

    /** A long broken stream would otherwise give one fault for each of its tokens. */
    private static final int MAX_FAULTS = 10;

    /** Check of a stream that has not begun. */
    public static StreamCheck start() {
        return new StreamCheck(0, Option.none(), Vector.empty());
    }

    /** Check after a token. */
    public StreamCheck afterToken(StreamedToken token) {
        StreamCheck checked =
                token.position() == nextPosition
                        ? this
                        : withFault(
                                "token at position %d where %d was due"
                                        .formatted(token.position(), nextPosition));
        StreamCheck ordered =
                outcome.isEmpty() ? checked : checked.withFault("token after the outcome");
        return new StreamCheck(token.position() + 1, outcome, ordered.faults);
    }

    /** Check after an outcome event. */
    public StreamCheck afterOutcome(RequestReport report) {
        return outcome.isEmpty()
                ? new StreamCheck(nextPosition, Option.some(report), faults)
                : withFault("second outcome");
    }

    /** Check with one more fault. */
    public StreamCheck withFault(String fault) {
        return faults.size() >= MAX_FAULTS
                ? this
                : new StreamCheck(nextPosition, outcome, faults.append(fault));
    }

    /** Check at the end of the stream. */
    public StreamCheck atEnd() {
        return outcome.isEmpty()
                ? withFault("the stream ended without an outcome; the answer is incomplete")
                : this;
    }
}
