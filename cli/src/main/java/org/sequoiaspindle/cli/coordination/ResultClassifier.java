package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.StatusReport;
import org.sequoiaspindle.core.state.Outcome;

/** Maps results of commands to exit codes. */
public final class ResultClassifier {

    private ResultClassifier() {}

    /** Returns the exit code of a publication. */
    public static ExitCode exitCodeOf(PublishReport.Result result) {
        return switch (result) {
            case PUBLISHED, CHECKED -> ExitCode.DONE;
            case INVALID -> ExitCode.INVALID_SET;
            case CONFLICT -> ExitCode.CONFLICT;
            case NOT_RUN -> ExitCode.NOT_RUN;
            case UNKNOWN -> ExitCode.UNKNOWN;
        };
    }

    /** Returns the exit code of a request. An answer with protocol violations counts as failed. */
    public static ExitCode exitCodeOf(Option<RequestReport> report, Vector<String> violations) {
        ExitCode exitCode =
                report.map(RequestReport::outcome)
                        .map(ResultClassifier::exitCodeOf)
                        .getOrElse(ExitCode.UNKNOWN);
        return exitCode == ExitCode.DONE && !violations.isEmpty() ? ExitCode.FAILED : exitCode;
    }

    /**
     * Returns true if the same generation is active on all instances, including unresponsive ones.
     */
    public static boolean allHaveSameGeneration(StatusReport report) {
        return report.instances().forAll(instance -> instance.generation() == report.generation());
    }

    private static ExitCode exitCodeOf(Outcome outcome) {
        return switch (outcome) {
            case ANSWERED -> ExitCode.DONE;
            case NOT_RUN -> ExitCode.NOT_RUN;
            case FAILED -> ExitCode.FAILED;
            case UNKNOWN -> ExitCode.UNKNOWN;
            case DEADLINE_EXCEEDED -> ExitCode.DEADLINE_EXCEEDED;
        };
    }
}
