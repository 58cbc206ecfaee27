package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * What the logs say of one request.
 *
 * @param lines lines of the request and of what instances learned meanwhile, by time
 * @param cause first cause that the lines name
 * @param skippedLines lines that are no whole log lines
 */
public record Explanation(
        String requestId, Vector<LogLine> lines, Option<String> cause, long skippedLines) {}
