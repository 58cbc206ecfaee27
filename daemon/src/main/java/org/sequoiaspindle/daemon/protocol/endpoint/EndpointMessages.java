package org.sequoiaspindle.daemon.protocol.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.LoadReport;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.daemon.protocol.Json;

/** JSON bodies of the conversation with endpoints. */
public final class EndpointMessages {

    private EndpointMessages() {}

    /** Body of a call. */
    public static byte[] call(EndpointCall call) {
        return Json.bytes(
                Json.object()
                        .put("input", call.input())
                        .put("maxTokens", call.maxTokens())
                        .put("resumeFrom", call.resumeFrom())
                        .put("resumeText", call.resumeText()));
    }

    /** Token in the data of an event, none if it is malformed. */
    public static Option<Token> token(String data) {
        return Json.objectIn(data).flatMap(EndpointMessages::token);
    }

    /** Verdict in the data of an {@code end} event, none if it is malformed. */
    public static Option<CallResult.Completed> end(String data) {
        return Json.objectIn(data)
                .flatMap(
                        node ->
                                Json.whole(node, "tokens")
                                        .filter(tokens -> tokens >= 0)
                                        .flatMap(tokens -> completed(node, "", tokens)));
    }

    /** Verdict in the body of an answer that is not streamed, none if it is malformed. */
    public static Option<CallResult.Completed> answer(byte[] body) {
        return Json.objectIn(body)
                .flatMap(
                        node ->
                                Json.text(node, "output")
                                        .flatMap(output -> completed(node, output, 0)));
    }

    /** Load report in the body of any answer, none if there is none. */
    public static Option<LoadReport> load(byte[] body) {
        return Json.objectIn(body).flatMap(EndpointMessages::load);
    }

    private static Option<Token> token(JsonNode node) {
        Option<Long> position = Json.whole(node, "position").filter(value -> value >= 0);
        return Json.text(node, "text")
                .flatMap(text -> position.map(value -> new Token(value, text)));
    }

    private static Option<CallResult.Completed> completed(
            JsonNode node, String output, long tokens) {
        Option<RequestId> id = Json.text(node, "requestId").map(RequestId::new);
        return Json.integer(node, "attempt")
                .flatMap(
                        attempt ->
                                id.map(
                                        request ->
                                                new CallResult.Completed(
                                                        request,
                                                        attempt,
                                                        output,
                                                        tokens,
                                                        load(node))));
    }

    /** An endpoint that only says that it is leaving reports no slots. */
    private static Option<LoadReport> load(JsonNode node) {
        boolean leaving = node.path("leaving").asBoolean(false);
        JsonNode load = node.path("load");
        if (!load.isObject()) {
            return leaving ? Option.of(new LoadReport(0, 0, 0, true)) : Option.none();
        }
        return Option.of(
                new LoadReport(
                        count(load, "running"),
                        count(load, "queued"),
                        count(load, "slots"),
                        leaving));
    }

    private static int count(JsonNode load, String field) {
        return Json.integer(load, field).filter(value -> value >= 0).getOrElse(0);
    }
}
