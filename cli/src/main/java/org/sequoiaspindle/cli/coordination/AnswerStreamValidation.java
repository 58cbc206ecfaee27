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
 * @param violations protocol violations so far
 */
public record AnswerStreamValidation(
        long nextPosition, Option<RequestReport> outcome, Vector<String> violations) {

    /** Limits the report on an invalid stream, which could have a violation for each token. */
    private static final int MAX_VIOLATIONS = 10;

    /** Returns the state before the first event of a stream. */
    public static AnswerStreamValidation start() {
        return new AnswerStreamValidation(0, Option.none(), Vector.empty());
    }

    /** Returns the state after a token event. */
    public AnswerStreamValidation afterToken(StreamedToken token) {
        AnswerStreamValidation withPositionViolation =
                token.position() == nextPosition
                        ? this
                        : withViolation(
                                "token at position %d, expected %d"
                                        .formatted(token.position(), nextPosition));
        AnswerStreamValidation withOrderViolation =
                outcome.isEmpty()
                        ? withPositionViolation
                        : withPositionViolation.withViolation("token after the outcome event");
        return new AnswerStreamValidation(
                token.position() + 1, outcome, withOrderViolation.violations);
    }

    /** Returns the state after an outcome event. */
    public AnswerStreamValidation afterOutcome(RequestReport report) {
        return outcome.isEmpty()
                ? new AnswerStreamValidation(nextPosition, Option.some(report), violations)
                : withViolation("more than one outcome event");
    }

    /**
     * Returns the state with another violation. Violations beyond {@link #MAX_VIOLATIONS} are
     * dropped.
     */
    public AnswerStreamValidation withViolation(String violation) {
        return violations.size() >= MAX_VIOLATIONS
                ? this
                : new AnswerStreamValidation(nextPosition, outcome, violations.append(violation));
    }

    /** Returns the state at the end of the stream. */
    public AnswerStreamValidation atEnd() {
        return outcome.isEmpty()
                ? withViolation("the stream ended without an outcome; the answer is incomplete")
                : this;
    }
}
