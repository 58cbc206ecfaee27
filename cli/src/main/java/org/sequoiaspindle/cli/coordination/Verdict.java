package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.StatusReport;
import org.sequoiaspindle.core.state.Outcome;

/** Exit codes of reports. */
public final class Verdict {

    private Verdict() {}

    /** Exit code of a publication. */
    public static ExitCode of(PublishReport.Result result) {
        return switch (result) {
            case PUBLISHED, CHECKED -> ExitCode.DONE;
            case INVALID -> ExitCode.INVALID_SET;
            case CONFLICT -> ExitCode.CONFLICT;
            case NOT_RUN -> ExitCode.NOT_RUN;
            case UNKNOWN -> ExitCode.UNKNOWN;
        };
    }

    /** Exit code of a request; an answer with faults is not whole and counts as failed. */
    public static ExitCode of(Option<RequestReport> report, Vector<String> faults) {
        ExitCode exit =
                report.map(RequestReport::outcome).map(Verdict::of).getOrElse(ExitCode.UNKNOWN);
        return exit == ExitCode.DONE && !faults.isEmpty() ? ExitCode.FAILED : exit;
    }

    /** Whether all instances, silent ones included, have the same generation in force. */
    public static boolean sameGeneration(StatusReport report) {
        return report.instances().forAll(line -> line.generation() == report.generation());
    }

    private static ExitCode of(Outcome outcome) {
        return switch (outcome) {
            case ANSWERED -> ExitCode.DONE;
            case NOT_RUN -> ExitCode.NOT_RUN;
            case FAILED -> ExitCode.FAILED;
            case UNKNOWN -> ExitCode.UNKNOWN;
            case DEADLINE_EXCEEDED -> ExitCode.DEADLINE_EXCEEDED;
        };
    }
}
