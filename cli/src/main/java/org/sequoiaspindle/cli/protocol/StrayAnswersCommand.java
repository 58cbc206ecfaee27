package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.cli.coordination.StrayAnswerCounter;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.StrayAnswerCounts;

/** Counts the answers besides the answer to the request in progress in the logs of instances. */
public final class StrayAnswersCommand {

    private StrayAnswersCommand() {}

    /** Reads the files once and counts. */
    public static CommandResult run(Vector<String> files) {
        AtomicReference<StrayAnswerCounts> counts = new AtomicReference<>(StrayAnswerCounts.NONE);
        return LogFiles.forEachLine(
                        files,
                        line ->
                                counts.updateAndGet(
                                        current -> StrayAnswerCounter.count(current, line)))
                .fold(
                        error -> CommandResult.message(ExitCode.USAGE, error),
                        skippedLines ->
                                CommandResult.done(
                                        new Report.StrayAnswers(counts.get(), skippedLines)));
    }
}
