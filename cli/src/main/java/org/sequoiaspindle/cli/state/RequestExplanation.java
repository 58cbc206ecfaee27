package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Log lines about a request and the cause of the result.
 *
 * @param lines log lines of the request and of instance events around the time of the request,
 *     sorted by time
 * @param cause cause of the result; absent if the logs have no line for the end of the request
 * @param answer attempts and the answers that endpoints sent besides the expected ones
 * @param skippedLines number of lines that could not be parsed
 */
public record RequestExplanation(
        String requestId,
        Vector<LogLine> lines,
        Option<String> cause,
        AnswerExplanation answer,
        long skippedLines) {}
