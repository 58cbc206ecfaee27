package org.sequoiaspindle.daemon.protocol.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointLoadReport;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.daemon.protocol.DaemonJson;

/** Encodes calls to endpoints and parses the JSON of their responses. */
public final class EndpointMessages {

    private EndpointMessages() {}

    /** Encodes the body of a call. */
    public static byte[] encodeCall(EndpointCall call) {
        return DaemonJson.toBytes(
                DaemonJson.newObject()
                        .put("input", call.input())
                        .put("maxTokens", call.maxTokens())
                        .put("resumeFrom", call.resumeFrom())
                        .put("resumeText", call.resumeText()));
    }

    /** Parses the data of a {@code token} event; returns none if the data is malformed. */
    public static Option<Token> parseToken(String data) {
        return DaemonJson.parseObject(data).flatMap(EndpointMessages::parseToken);
    }

    /** Parses the data of an {@code end} event; returns none if the data is malformed. */
    public static Option<CallResult.Completed> parseEnd(String data) {
        return DaemonJson.parseObject(data)
                .flatMap(
                        node ->
                                DaemonJson.longField(node, "tokens")
                                        .filter(tokens -> tokens >= 0)
                                        .flatMap(tokens -> parseCompleted(node, "", tokens)));
    }

    /**
     * Parses the body of a response that is not streamed; returns none if the body is malformed.
     */
    public static Option<CallResult.Completed> parseAnswer(byte[] body) {
        return DaemonJson.parseObject(body)
                .flatMap(
                        node ->
                                DaemonJson.stringField(node, "output")
                                        .flatMap(output -> parseCompleted(node, output, 0)));
    }

    /**
     * Parses the load report in the body of any response; returns none if the body contains no load
     * report.
     */
    public static Option<EndpointLoadReport> parseLoad(byte[] body) {
        return DaemonJson.parseObject(body).flatMap(EndpointMessages::parseLoad);
    }

    private static Option<Token> parseToken(JsonNode node) {
        Option<Long> position = DaemonJson.longField(node, "position").filter(value -> value >= 0);
        return DaemonJson.stringField(node, "text")
                .flatMap(text -> position.map(value -> new Token(value, text)));
    }

    private static Option<CallResult.Completed> parseCompleted(
            JsonNode node, String output, long tokens) {
        Option<RequestId> id = DaemonJson.stringField(node, "requestId").map(RequestId::new);
        return DaemonJson.intField(node, "attempt")
                .flatMap(
                        attempt ->
                                id.map(
                                        request ->
                                                new CallResult.Completed(
                                                        request,
                                                        attempt,
                                                        output,
                                                        tokens,
                                                        parseLoad(node))));
    }

    /**
     * Parses the load report. A response that only flags the endpoint as leaving yields a load
     * report without slots.
     */
    private static Option<EndpointLoadReport> parseLoad(JsonNode node) {
        boolean leaving = node.path("leaving").asBoolean(false);
        JsonNode load = node.path("load");
        if (!load.isObject()) {
            return leaving ? Option.of(new EndpointLoadReport(0, 0, 0, true)) : Option.none();
        }
        return Option.of(
                new EndpointLoadReport(
                        nonNegativeInt(load, "running"),
                        nonNegativeInt(load, "queued"),
                        nonNegativeInt(load, "slots"),
                        leaving));
    }

    private static int nonNegativeInt(JsonNode load, String field) {
        return DaemonJson.intField(load, field).filter(value -> value >= 0).getOrElse(0);
    }
}
