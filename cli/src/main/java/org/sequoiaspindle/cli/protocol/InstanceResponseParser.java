package org.sequoiaspindle.cli.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.function.Function;
import org.sequoiaspindle.cli.state.ActiveObjectSet;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.RequestReport.StageTiming;
import org.sequoiaspindle.cli.state.StatusReport;
import org.sequoiaspindle.cli.state.StatusReport.ReportedInstance;
import org.sequoiaspindle.cli.state.StreamedToken;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.state.Outcome;

/** Parses JSON responses of instances. Methods return none for a body of another structure. */
final class InstanceResponseParser {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private InstanceResponseParser() {}

    static Option<PublishReport> parsePublication(String body) {
        return parseObject(body)
                .flatMap(
                        json ->
                                toPublicationResult(json.path("result").asText())
                                        .map(
                                                result ->
                                                        new PublishReport(
                                                                result,
                                                                json.path("generation").asLong(),
                                                                json.path("operator").asText(),
                                                                json.path("submission").asText(),
                                                                json.path("reason").asText(),
                                                                mapElements(
                                                                        json.path("problems"),
                                                                        InstanceResponseParser
                                                                                ::toProblem))));
    }

    static Option<StatusReport> parseStatus(String body) {
        return parseObject(body)
                .filter(json -> json.path("generation").isIntegralNumber())
                .filter(json -> json.path("instances").isArray())
                .map(
                        json ->
                                new StatusReport(
                                        json.path("instance").asText(),
                                        json.path("generation").asLong(),
                                        mapElements(
                                                json.path("instances"),
                                                InstanceResponseParser::toReportedInstance)));
    }

    static Option<ActiveObjectSet> parseConfiguration(String body) {
        return parseObject(body)
                .filter(json -> json.path("generation").isIntegralNumber())
                .filter(json -> json.path("objects").isObject())
                .flatMap(
                        json ->
                                ObjectSetReader.read(json.path("objects").toString())
                                        .toOption()
                                        .map(
                                                objects ->
                                                        new ActiveObjectSet(
                                                                json.path("generation").asLong(),
                                                                objects)));
    }

    static Option<RequestReport> parseRequest(String body) {
        return parseObject(body)
                .flatMap(
                        json ->
                                toOutcome(json.path("outcome").asText())
                                        .map(
                                                outcome ->
                                                        new RequestReport(
                                                                outcome,
                                                                json.path("answer").asText(),
                                                                json.path("reason").asText(),
                                                                json.path("detail").asText(),
                                                                json.path("requestId").asText(),
                                                                json.path("generation").asLong(),
                                                                mapElements(
                                                                        json.path("stages"),
                                                                        InstanceResponseParser
                                                                                ::toStageTiming),
                                                                json.path("traceId").asText())));
    }

    static Option<StreamedToken> parseToken(String data) {
        return parseObject(data)
                .filter(json -> json.path("position").isIntegralNumber())
                .filter(json -> json.path("text").isTextual())
                .map(
                        json ->
                                new StreamedToken(
                                        json.path("position").asLong(),
                                        json.path("text").asText()));
    }

    /** Returns the reason for a rejection, if the response body contains one. */
    static Option<String> parseReason(String body) {
        return parseObject(body)
                .flatMap(
                        json ->
                                Option.of(json.path("reason").textValue())
                                        .filter(reason -> !reason.isEmpty()));
    }

    private static Option<JsonNode> parseObject(String body) {
        try {
            return Option.of(MAPPER.readTree(body)).filter(JsonNode::isObject);
        } catch (JsonProcessingException e) {
            return Option.none();
        }
    }

    private static Option<PublishReport.Result> toPublicationResult(String name) {
        return Option.of(
                switch (name) {
                    case "published" -> PublishReport.Result.PUBLISHED;
                    case "checked" -> PublishReport.Result.CHECKED;
                    case "invalid" -> PublishReport.Result.INVALID;
                    case "conflict" -> PublishReport.Result.CONFLICT;
                    case "notRun" -> PublishReport.Result.NOT_RUN;
                    case "unknown" -> PublishReport.Result.UNKNOWN;
                    default -> null;
                });
    }

    private static Option<Outcome> toOutcome(String name) {
        return Try.of(() -> Outcome.valueOf(name)).toOption();
    }

    private static ValidationProblem toProblem(JsonNode json) {
        return new ValidationProblem(
                json.path("code").asText(),
                json.path("kind").asText(),
                json.path("object").asText(),
                json.path("field").asText(),
                json.path("message").asText());
    }

    private static ReportedInstance toReportedInstance(JsonNode json) {
        return new ReportedInstance(
                json.path("instance").asText(),
                json.path("dataCentre").asText(),
                json.path("address").asText(),
                json.path("generation").asLong(),
                json.path("serving").asText(),
                json.path("lastHeardMillis").asLong());
    }

    private static StageTiming toStageTiming(JsonNode json) {
        return new StageTiming(
                json.path("stage").asText(),
                json.path("endpoint").asText(),
                json.path("attempt").asInt(),
                json.path("outcome").asText(),
                json.path("waitMs").asLong(),
                json.path("serviceMs").asLong());
    }

    private static <T> Vector<T> mapElements(JsonNode array, Function<JsonNode, T> mapper) {
        return Vector.ofAll(array).map(mapper);
    }
}
