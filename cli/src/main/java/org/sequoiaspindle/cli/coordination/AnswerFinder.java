package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.RequestAttempt;

/** Determines from log lines how the answer to a request that succeeded came about. */
public final class AnswerFinder {

    /** Describes the answer in one sentence if the evidence is of one kind. */
    @FunctionalInterface
    private interface Rule {

        Option<String> describe(AnswerEvidence evidence);
    }

    /** The first rule that applies names the finding: what may be a wrong answer comes first. */
    private static final Vector<Rule> RULES =
            Vector.of(
                    AnswerFinder::describeUnnamedConnection,
                    AnswerFinder::describeForeignBytes,
                    AnswerFinder::describeAnswerOfAnotherEndpoint,
                    AnswerFinder::describeSecondSend,
                    AnswerFinder::describePrecedingAnswer,
                    AnswerFinder::describeLateCopy,
                    AnswerFinder::describeRefusal,
                    evidence -> Option.of(describeUsualAnswer(evidence)));

    private AnswerFinder() {}

    /**
     * Returns the attempts of a request.
     *
     * @param requestLines lines of the request, sorted by time
     */
    public static Vector<RequestAttempt> attempts(Vector<LogLine> requestLines) {
        return AttemptReader.read(requestLines);
    }

    /**
     * Describes where the answer to a request came from.
     *
     * @param attempts attempts in the order in which they ended
     * @param strayAnswers lines about answers that name the request, met it or came on one of its
     *     connections, sorted by time
     * @return the finding, empty if no attempt ended with a success
     */
    public static Option<String> find(
            String requestId, Vector<RequestAttempt> attempts, Vector<LogLine> strayAnswers) {
        return attempts.findLast(attempt -> attempt.isAnswer() && isSuccess(attempt.status()))
                .map(answer -> new AnswerEvidence(requestId, answer, attempts, strayAnswers))
                .map(evidence -> RULES.iterator().flatMap(rule -> rule.describe(evidence)).head());
    }

    private static Option<String> describeUnnamedConnection(AnswerEvidence evidence) {
        return Option.when(
                !evidence.answer().namesConnection(),
                () ->
                        "cannot be told: line 304 does not name the connection; it was written by"
                                + " a version without event 307");
    }

    private static Option<String> describeForeignBytes(AnswerEvidence evidence) {
        return evidence.bytesAfterAnswer()
                .find(AnswerEvidence::isUnreadable)
                .map(
                        line ->
                                answeredBy(evidence.answer())
                                        + ", and bytes that are not the head of a response"
                                        + " followed on connection "
                                        + evidence.answer().connection()
                                        + ": a part of another response may have completed the"
                                        + " answer");
    }

    private static Option<String> describeAnswerOfAnotherEndpoint(AnswerEvidence evidence) {
        return evidence.furtherAnswers()
                .find(line -> !line.field("endpoint").equals(evidence.answer().endpoint()))
                .map(line -> describeAnswerOfAnotherEndpoint(evidence, line));
    }

    private static String describeAnswerOfAnotherEndpoint(AnswerEvidence evidence, LogLine line) {
        String endpoint = line.field("endpoint");
        Option<RequestAttempt> attempt =
                evidence.earlierAttempts().findLast(earlier -> earlier.endpoint().equals(endpoint));
        if (attempt.isEmpty()) {
            return "%s; %s, at which no attempt is logged, sent an answer with %s too"
                    .formatted(answeredBy(evidence.answer()), endpoint, statusOf(line));
        }
        String attempts = describeFailure(attempt.get()) + " and " + answeredBy(evidence.answer());
        if (!attempt.get().isRefusal()) {
            return "%s; %s sent an answer with %s too, which was not used"
                    .formatted(attempts, endpoint, statusOf(line));
        }
        return isSuccess(line.numericField("status"))
                ? "%s; %s answered with %s too although it had refused, so both may have executed"
                                .formatted(attempts, endpoint, statusOf(line))
                        + " the request"
                : "%s; %s repeated its refusal with %s, which was not used"
                        .formatted(attempts, endpoint, statusOf(line));
    }

    private static Option<String> describeSecondSend(AnswerEvidence evidence) {
        RequestAttempt answer = evidence.answer();
        return evidence.earlierAttempts()
                .findLast(
                        attempt ->
                                attempt.endpoint().equals(answer.endpoint())
                                        && attempt.namesConnection())
                .map(
                        attempt ->
                                "sent to %s twice: %s on %s, then %s on connection %s; %s"
                                        .formatted(
                                                answer.endpoint(),
                                                describeFailure(attempt),
                                                attempt.connection(),
                                                answeredBy(answer),
                                                answer.connection(),
                                                describeRepetition(evidence, attempt)));
    }

    private static String describeRepetition(AnswerEvidence evidence, RequestAttempt first) {
        if (first.connection().equals(evidence.answer().connection())) {
            return "the answer may be a copy of the first one, because both were sent on one"
                    + " connection";
        }
        return evidence.furtherAnswers()
                .headOption()
                .map(line -> "a further answer with %s was not used".formatted(statusOf(line)))
                .getOrElse("no further answer was logged");
    }

    private static Option<String> describePrecedingAnswer(AnswerEvidence evidence) {
        return evidence.precedingAnswers()
                .headOption()
                .map(
                        line ->
                                answeredBy(evidence.answer())
                                        + (evidence.answer().isOnConnectionOf(line)
                                                ? " on a connection whose earlier answer was"
                                                        + " repeated: "
                                                : "; an attempt before met a repeated answer: ")
                                        + "an answer to request %s with %s came first and was not"
                                                .formatted(line.field("answeredId"), statusOf(line))
                                        + " used");
    }

    private static Option<String> describeLateCopy(AnswerEvidence evidence) {
        return evidence.furtherAnswers()
                .headOption()
                .map(
                        line ->
                                "%s; a late copy with %s arrived on connection %s, which %s, and"
                                                .formatted(
                                                        answeredBy(evidence.answer()),
                                                        statusOf(line),
                                                        line.field("connection"),
                                                        AnswerEvidence.isOnIdleConnection(line)
                                                                ? "was idle"
                                                                : "carried request "
                                                                        + line.field("requestId"))
                                        + " was not used"
                                        + describeOtherStatus(evidence.answer(), line));
    }

    private static String describeOtherStatus(RequestAttempt answer, LogLine line) {
        return line.numericField("status") == answer.status()
                ? ""
                : "; it is another answer, because its status differs";
    }

    private static Option<String> describeRefusal(AnswerEvidence evidence) {
        return evidence.earlierAttempts()
                .findLast(RequestAttempt::isRefusal)
                .map(
                        attempt ->
                                "%s and %s; no further answer of %s was logged"
                                        .formatted(
                                                describeFailure(attempt),
                                                answeredBy(evidence.answer()),
                                                attempt.endpoint()));
    }

    private static String describeUsualAnswer(AnswerEvidence evidence) {
        return "nothing unusual: "
                + answeredBy(evidence.answer())
                + (evidence.answer().requestNumber() == 1
                        ? ", to the first request on the connection, where it need not name the"
                                + " request"
                        : ", naming the request");
    }

    private static String describeFailure(RequestAttempt attempt) {
        return attempt.isRefusal()
                ? "refused by %s with status %d".formatted(attempt.endpoint(), attempt.status())
                : "failed at %s (%s, %s)"
                        .formatted(attempt.endpoint(), attempt.result(), attempt.reason());
    }

    private static String answeredBy(RequestAttempt answer) {
        return "answered by %s with status %d".formatted(answer.endpoint(), answer.status());
    }

    private static String statusOf(LogLine line) {
        return "status " + line.field("status");
    }

    private static boolean isSuccess(long status) {
        return status >= 200 && status < 300;
    }
}
