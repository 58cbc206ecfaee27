package org.sequoiaspindle.cli.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Locale;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.StatusReport;
import org.sequoiaspindle.cli.state.StreamedToken;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff.ObjectReference;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;

/** Formats a result as one line of JSON, which includes the exit code. */
final class JsonReportFormatter {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonReportFormatter() {}

    static String formatToken(StreamedToken token) {
        return newObject().put("position", token.position()).put("text", token.text()).toString();
    }

    static String format(CommandResult result) {
        ObjectNode json = newObject().put("exit", result.exitCode().code());
        Report report = result.report();
        if (report instanceof Report.Message message) {
            json.put("message", message.text());
        } else if (report instanceof Report.FileCheck check) {
            json.put("file", check.file()).set("problems", toArray(check.problems()));
        } else if (report instanceof Report.Publication publication) {
            putPublication(json, publication.report());
        } else if (report instanceof Report.Status status) {
            putStatus(json, status.report());
        } else if (report instanceof Report.Objects objects) {
            json.put("generation", objects.generation()).set("objects", toDocument(objects));
        } else if (report instanceof Report.Difference difference) {
            json.put("generation", difference.generation()).put("file", difference.file());
            putDifference(json, difference.diff());
        } else if (report instanceof Report.RequestResult request) {
            request.report().forEach(requestReport -> putRequest(json, requestReport));
            request.violations().forEach(json.putArray("faults")::add);
        } else if (report instanceof Report.Explanation explanation) {
            ExplanationJsonFormatter.putExplanation(json, explanation.explanation());
        } else if (report instanceof Report.StrayAnswers strayAnswers) {
            ExplanationJsonFormatter.putStrayAnswers(json, strayAnswers);
        } else {
            json.put("secretHash", ((Report.HashedSecret) report).secretHash());
        }
        return json.toString();
    }

    private static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static JsonNode toDocument(Report.Objects objects) {
        try {
            return MAPPER.readTree(ObjectSetWriter.write(objects.objects()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("ObjectSetWriter produced invalid JSON", e);
        }
    }

    private static ArrayNode toArray(Vector<ValidationProblem> problems) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        problems.forEach(
                problem ->
                        array.addObject()
                                .put("code", problem.code())
                                .put("kind", problem.kind())
                                .put("object", problem.objectName())
                                .put("field", problem.field())
                                .put("message", problem.message()));
        return array;
    }

    private static void putPublication(ObjectNode json, PublishReport report) {
        json.put("result", resultName(report.result()))
                .put("generation", report.generation())
                .put("operator", report.operator())
                .put("submission", report.submission())
                .put("reason", report.reason())
                .set("problems", toArray(report.problems()));
    }

    /** Returns the name of a result as in the responses of instances. */
    private static String resultName(PublishReport.Result result) {
        return result == PublishReport.Result.NOT_RUN
                ? "notRun"
                : result.name().toLowerCase(Locale.ROOT);
    }

    private static void putStatus(ObjectNode json, StatusReport report) {
        json.put("instance", report.instance()).put("generation", report.generation());
        ArrayNode instances = json.putArray("instances");
        report.instances()
                .forEach(
                        instance ->
                                instances
                                        .addObject()
                                        .put("instance", instance.instance())
                                        .put("dataCentre", instance.dataCentre())
                                        .put("address", instance.address())
                                        .put("generation", instance.generation())
                                        .put("serving", instance.serving())
                                        .put("lastHeardMillis", instance.lastHeardMillis()));
    }

    private static void putDifference(ObjectNode json, ConfigurationDiff diff) {
        diff.added().forEach(ref -> putReference(json.withArray("added").addObject(), ref));
        diff.removed().forEach(ref -> putReference(json.withArray("removed").addObject(), ref));
        ArrayNode changed = json.putArray("changed");
        diff.changed()
                .forEach(
                        object -> {
                            ObjectNode node = putReference(changed.addObject(), object.object());
                            ArrayNode fields = node.putArray("fields");
                            object.fields().forEach(field -> addChangedField(fields, field));
                        });
    }

    private static ObjectNode putReference(ObjectNode node, ObjectReference reference) {
        return node.put("kind", reference.kind()).put("name", reference.name());
    }

    private static void addChangedField(ArrayNode fields, ConfigurationDiff.ChangedField field) {
        ObjectNode node = fields.addObject().put("name", field.name());
        node.set("before", MAPPER.valueToTree(toJacksonValue(field.before())));
        node.set("after", MAPPER.valueToTree(toJacksonValue(field.after())));
    }

    /** Converts a value to a type that Jackson can serialize. */
    private static Object toJacksonValue(Object value) {
        if (value instanceof Option<?> option) {
            return option.getOrNull();
        }
        if (value instanceof Enum<?> constant) {
            return constant.name().toLowerCase(Locale.ROOT);
        }
        return value instanceof Vector<?> items ? items.asJava() : value;
    }

    private static void putRequest(ObjectNode json, RequestReport report) {
        json.put("outcome", report.outcome().name())
                .put("answer", report.answer())
                .put("reason", report.reason())
                .put("detail", report.detail())
                .put("requestId", report.requestId())
                .put("generation", report.generation())
                .put("traceId", report.traceId());
        ArrayNode stages = json.putArray("stages");
        report.stages()
                .forEach(
                        stage ->
                                stages.addObject()
                                        .put("stage", stage.stage())
                                        .put("endpoint", stage.endpoint())
                                        .put("attempt", stage.attempt())
                                        .put("outcome", stage.outcome())
                                        .put("waitMs", stage.waitMs())
                                        .put("serviceMs", stage.serviceMs()));
    }
}
