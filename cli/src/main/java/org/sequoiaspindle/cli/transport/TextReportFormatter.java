package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff.ObjectReference;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;

/** Formats reports as human-readable text. */
final class TextReportFormatter {

    private TextReportFormatter() {}

    /** Formats a report. The result ends with a line break. */
    static String format(Report report) {
        if (report instanceof Report.Message message) {
            return "sequoiaspindle: " + ObjectNames.printable(message.text()) + "\n";
        }
        if (report instanceof Report.FileCheck check) {
            return formatFileCheck(check);
        }
        if (report instanceof Report.Publication publication) {
            return formatPublication(publication.report());
        }
        if (report instanceof Report.Status status) {
            return formatStatus(status);
        }
        if (report instanceof Report.Objects objects) {
            return "// generation %d%n%s%n"
                    .formatted(
                            objects.generation(), ObjectSetWriter.writePretty(objects.objects()));
        }
        if (report instanceof Report.Difference difference) {
            return formatDifference(difference);
        }
        if (report instanceof Report.RequestResult request) {
            return formatRequest(request);
        }
        if (report instanceof Report.Explanation explanation) {
            return ExplanationTextFormatter.format(explanation.explanation());
        }
        if (report instanceof Report.StrayAnswers strayAnswers) {
            return ExplanationTextFormatter.format(strayAnswers);
        }
        return ((Report.HashedSecret) report).secretHash() + "\n";
    }

    private static String formatFileCheck(Report.FileCheck check) {
        return check.problems().isEmpty()
                ? check.file() + ": no problems\n"
                : formatProblems(check.problems())
                        + "%s: %d problem(s)%n".formatted(check.file(), check.problems().size());
    }

    private static String formatProblems(Vector<ValidationProblem> problems) {
        return problems.map(problem -> formatProblem(problem) + "\n").mkString();
    }

    private static String formatProblem(ValidationProblem problem) {
        String field = problem.field().isEmpty() ? "" : ", field " + problem.field();
        String location = (problem.kind() + " " + problem.objectName()).strip() + field;
        String description = (location.isEmpty() ? "" : location + ": ") + problem.message();
        return ObjectNames.printable(description + " [" + problem.code() + "]");
    }

    private static String formatPublication(PublishReport report) {
        String summary =
                switch (report.result()) {
                    case PUBLISHED ->
                            "published as generation %d; 'status' shows where it is in force"
                                    .formatted(report.generation());
                    case CHECKED ->
                            "consistent; nothing was published, generation %d stays in force"
                                    .formatted(report.generation());
                    case INVALID -> "invalid; nothing was published, correct the problems above";
                    case CONFLICT ->
                            "conflict; generation %d of operator %s is in force, nothing was"
                                            .formatted(report.generation(), report.operator())
                                    + " published; see 'diff', then publish with --base "
                                    + report.generation();
                    case NOT_RUN -> "not run: " + report.reason() + "; nothing was published";
                    case UNKNOWN ->
                            "unknown: %s; it may have been published, see 'status' or repeat with"
                                            .formatted(report.reason())
                                    + " --submission "
                                    + report.submission();
                };
        return formatProblems(report.problems()) + ObjectNames.printable(summary) + "\n";
    }

    private static String formatStatus(Report.Status status) {
        Vector<Vector<String>> rows =
                status.report()
                        .instances()
                        .map(
                                instance ->
                                        Vector.of(
                                                instance.instance(),
                                                instance.dataCentre(),
                                                instance.address(),
                                                Long.toString(instance.generation()),
                                                instance.serving(),
                                                Long.toString(instance.lastHeardMillis())));
        String table =
                TextTable.of(
                        Vector.of(
                                "instance",
                                "data centre",
                                "address",
                                "generation",
                                "state",
                                "last heard ms"),
                        rows);
        return table
                + (status.sameGeneration()
                        ? "generation %d is in force on all %d instances%n"
                                .formatted(status.report().generation(), rows.size())
                        : "the instances have different generations; check again in a few"
                                + " seconds, then examine the instances that lag or are silent\n");
    }

    private static String formatDifference(Report.Difference difference) {
        ConfigurationDiff diff = difference.diff();
        String base = "base generation " + difference.generation();
        if (diff.isEmpty()) {
            return "no difference, " + base + "\n";
        }
        return formatReferences("+ ", diff.added())
                + formatReferences("- ", diff.removed())
                + diff.changed().map(TextReportFormatter::formatChangedObject).mkString()
                + "%d added, %d removed, %d changed, %s%n"
                        .formatted(
                                diff.added().size(),
                                diff.removed().size(),
                                diff.changed().size(),
                                base);
    }

    private static String formatReferences(String sign, Vector<ObjectReference> references) {
        return references.map(ref -> sign + ref.kind() + " " + ref.name() + "\n").mkString();
    }

    private static String formatChangedObject(ConfigurationDiff.ChangedObject object) {
        return "~ %s %s%n".formatted(object.object().kind(), object.object().name())
                + object.fields()
                        .map(
                                field ->
                                        "    %s: %s -> %s%n"
                                                .formatted(
                                                        field.name(),
                                                        formatValue(field.before()),
                                                        formatValue(field.after())))
                        .mkString();
    }

    private static String formatValue(Object value) {
        if (value instanceof Option<?> option) {
            return option.<String>map(TextReportFormatter::formatValue).getOrElse("(none)");
        }
        return value instanceof Vector<?> items ? items.mkString("[", ", ", "]") : value.toString();
    }

    private static String formatRequest(Report.RequestResult request) {
        Function<RequestReport, String> answerFormatter =
                report -> formatAnswer(report, request.streamed());
        return request.report().map(answerFormatter).getOrElse("\n")
                + request.violations().map(violation -> "fault: " + violation + "\n").mkString()
                + request.report()
                        .map(TextReportFormatter::formatOutcome)
                        .getOrElse("outcome unknown: the request may have been executed\n");
    }

    private static String formatAnswer(RequestReport report, boolean streamed) {
        Vector<Vector<String>> rows =
                report.stages()
                        .map(
                                stage ->
                                        Vector.of(
                                                stage.stage(),
                                                stage.endpoint(),
                                                Integer.toString(stage.attempt()),
                                                stage.outcome(),
                                                Long.toString(stage.waitMs()),
                                                Long.toString(stage.serviceMs())));
        String table =
                TextTable.of(
                        Vector.of(
                                "stage", "endpoint", "attempt", "result", "wait ms", "service ms"),
                        rows);
        String answer = streamed || report.answer().isEmpty() ? "" : report.answer();
        return (streamed || !answer.isEmpty() ? answer + "\n\n" : "")
                + (rows.isEmpty() ? "" : table);
    }

    private static String formatOutcome(RequestReport report) {
        String reason =
                Vector.of(report.reason(), report.detail())
                        .filter(part -> !part.isEmpty() && !part.equals("NONE"))
                        .mkString(": ");
        String summary =
                "outcome %s%s, request %s, generation %d%s"
                        .formatted(
                                report.outcome(),
                                reason.isEmpty() ? "" : " (" + reason + ")",
                                report.requestId(),
                                report.generation(),
                                report.traceId().isEmpty() ? "" : ", trace " + report.traceId());
        return ObjectNames.printable(summary) + "\n";
    }
}
