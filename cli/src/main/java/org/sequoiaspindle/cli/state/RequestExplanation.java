package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Log lines about one request and the cause of its result.
 *
 * @param lines lines of the request, and of events on the instances around that time, sorted by
 *     time
 * @param cause cause of the result; absent if the logs have no line for the end of the request
 * @param skippedLines number of lines that could not be parsed
 */
public record RequestExplanation(
        String requestId, Vector<LogLine> lines, Option<String> cause, long skippedLines) {}
