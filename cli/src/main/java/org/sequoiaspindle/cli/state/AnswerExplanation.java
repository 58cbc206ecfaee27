package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Where the answer to a request came from.
 *
 * @param attempts attempts in the order in which they ended
 * @param strayAnswers lines about answers that name the request, met it or came on one of its
 *     connections, sorted by time
 * @param omittedStrayAnswers number of such lines beyond the limit of the report
 * @param missing descriptions of lines that the logs should contain and do not
 * @param finding what the lines show about the answer; absent if the request did not succeed
 */
public record AnswerExplanation(
        Vector<RequestAttempt> attempts,
        Vector<LogLine> strayAnswers,
        long omittedStrayAnswers,
        Vector<String> missing,
        Option<String> finding) {}
