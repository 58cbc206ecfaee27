package org.sequoiaspindle.cli.transport;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import org.sequoiaspindle.cli.state.AnswerExplanation;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestAttempt;
import org.sequoiaspindle.cli.state.RequestExplanation;
import org.sequoiaspindle.cli.state.StrayAnswerCounts.Counts;

/** Formats what the logs of instances show as JSON. */
final class ExplanationJsonFormatter {

    private ExplanationJsonFormatter() {}

    static void putExplanation(ObjectNode json, RequestExplanation explanation) {
        AnswerExplanation answer = explanation.answer();
        json.put("requestId", explanation.requestId());
        explanation.cause().forEach(cause -> json.put("cause", cause));
        answer.finding().forEach(finding -> json.put("answer", finding));
        answer.missing().forEach(json.putArray("missing")::add);
        json.put("skippedLines", explanation.skippedLines());
        addLines(json.putArray("lines"), explanation.lines());
        ArrayNode attempts = json.putArray("attempts");
        answer.attempts().forEach(attempt -> putAttempt(attempts.addObject(), attempt));
        addLines(json.putArray("strayAnswers"), answer.strayAnswers());
        json.put("omittedStrayAnswers", answer.omittedStrayAnswers());
    }

    static void putStrayAnswers(ObjectNode json, Report.StrayAnswers report) {
        ArrayNode endpoints = json.putArray("endpoints");
        report.counts()
                .endpoints()
                .toVector()
                .sortBy(row -> -row._2().total())
                .forEach(
                        row ->
                                putCounts(
                                        endpoints.addObject().put("endpoint", row._1()), row._2()));
        putCounts(json.putObject("otherEndpoints"), report.counts().otherEndpoints());
        json.put("droppedLines", report.counts().droppedLines())
                .put("skippedLines", report.skippedLines());
    }

    private static void putCounts(ObjectNode json, Counts counts) {
        json.put("idle", counts.idle())
                .put("busy", counts.busy())
                .put("notAResponse", counts.unreadable());
    }

    private static void putAttempt(ObjectNode json, RequestAttempt attempt) {
        json.put("time", attempt.time().toString())
                .put("source", attempt.source())
                .put("endpoint", attempt.endpoint())
                .put("connection", attempt.connection())
                .put("requestNumber", attempt.requestNumber())
                .put("result", attempt.result())
                .put("status", attempt.status())
                .put("reason", attempt.reason());
    }

    private static void addLines(ArrayNode array, Vector<LogLine> lines) {
        for (LogLine line : lines) {
            ObjectNode fields =
                    array.addObject()
                            .put("time", line.time().toString())
                            .put("source", line.source())
                            .put("name", line.eventName())
                            .putObject("fields");
            line.fields().forEach((name, value) -> fields.put(name, value));
        }
    }
}
