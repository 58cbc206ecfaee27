package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.StreamedToken;

/**
 * Validates a streamed answer event by event: token positions start at 0 and increase by one, and
 * the outcome is the last event. Each event yields a new immutable state.
 *
 * @param nextPosition expected position of the next token
 * @param outcome the outcome event, once received
 * @param faults protocol violations so far
 */
public record AnswerStreamValidation(
        long nextPosition, Option<RequestReport> outcome, Vector<String> faults) {

    /** Limits the report on an invalid stream, which could have a fault for each token. */
    private static final int MAX_FAULTS = 10;

    /** Returns the state before the first event of a stream. */
    public static AnswerStreamValidation start() {
        return new AnswerStreamValidation(0, Option.none(), Vector.empty());
    }

    /** Returns the state after a token event. */
    public AnswerStreamValidation afterToken(StreamedToken token) {
        AnswerStreamValidation withPositionFault =
                token.position() == nextPosition
                        ? this
                        : withFault(
                                "token at position %d, expected %d"
                                        .formatted(token.position(), nextPosition));
        AnswerStreamValidation withOrderFault =
                outcome.isEmpty()
                        ? withPositionFault
                        : withPositionFault.withFault("token after the outcome event");
        return new AnswerStreamValidation(token.position() + 1, outcome, withOrderFault.faults);
    }

    /** Returns the state after an outcome event. */
    public AnswerStreamValidation afterOutcome(RequestReport report) {
        return outcome.isEmpty()
                ? new AnswerStreamValidation(nextPosition, Option.some(report), faults)
                : withFault("more than one outcome event");
    }

    /** Returns the state with another fault. Faults beyond {@link #MAX_FAULTS} are dropped. */
    public AnswerStreamValidation withFault(String fault) {
        return faults.size() >= MAX_FAULTS
                ? this
                : new AnswerStreamValidation(nextPosition, outcome, faults.append(fault));
    }

    /** Returns the state at the end of the stream. */
    public AnswerStreamValidation atEnd() {
        return outcome.isEmpty()
                ? withFault("the stream ended without an outcome; the answer is incomplete")
                : this;
    }
}
