package org.sequoiaspindle.daemon.protocol.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.peer.InstanceStatus;
import org.sequoiaspindle.core.protocol.publication.PublishResult;
import org.sequoiaspindle.daemon.protocol.DaemonJson;

/** Builds the replies to operators: HTTP statuses and JSON bodies. */
public final class OperatorReplies {

    private OperatorReplies() {}

    /**
     * A reply to an operator.
     *
     * @param status HTTP status
     * @param body JSON
     */
    public record Reply(int status, byte[] body) {}

    /** Returns the reply to the publication of a configuration. */
    public static Reply reply(PublishResult result) {
        if (result instanceof PublishResult.Published published) {
            return reply(200, result("published").put("generation", published.generation()));
        }
        if (result instanceof PublishResult.Checked checked) {
            return reply(200, result("checked").put("generation", checked.currentGeneration()));
        }
        if (result instanceof PublishResult.Invalid invalid) {
            return invalid(invalid.problems());
        }
        if (result instanceof PublishResult.Conflict conflict) {
            return reply(
                    409,
                    result("conflict")
                            .put("generation", conflict.currentGeneration())
                            .put("operator", conflict.operator())
                            .put("submission", conflict.submissionId()));
        }
        if (result instanceof PublishResult.NotRun notRun) {
            return reply(503, result("notRun").put("reason", notRun.reason()));
        }
        String reason = ((PublishResult.Unknown) result).reason();
        return reply(504, result("unknown").put("reason", reason));
    }

    /** Returns the reply to a publication whose document has problems. */
    public static Reply invalid(Vector<ValidationProblem> problems) {
        ObjectNode node = result("invalid");
        ArrayNode array = node.putArray("problems");
        problems.forEach(
                problem ->
                        array.addObject()
                                .put("code", problem.code())
                                .put("kind", problem.kind())
                                .put("object", problem.objectName())
                                .put("field", problem.field())
                                .put("message", problem.message()));
        return reply(422, node);
    }

    /** Returns the reply to a request that was rejected before it reached the publisher. */
    public static Reply refusal(int status, String reason) {
        return reply(status, result("notRun").put("reason", reason));
    }

    /**
     * Returns the reply with the active configuration.
     *
     * @param document object set as a JSON string
     */
    public static Reply configuration(long generation, String document) {
        JsonNode objects =
                DaemonJson.parseObject(document)
                        .getOrElseThrow(() -> new IllegalStateException("not a JSON object"));
        ObjectNode node = DaemonJson.newObject().put("generation", generation);
        return reply(200, node.set("objects", objects));
    }

    /** Returns the reply with the status of all instances that this instance knows. */
    public static Reply status(String instance, long generation, Vector<InstanceStatus> instances) {
        ObjectNode node =
                DaemonJson.newObject().put("instance", instance).put("generation", generation);
        ArrayNode array = node.putArray("instances");
        instances.forEach(
                status ->
                        array.addObject()
                                .put("instance", status.instance())
                                .put("dataCentre", status.dataCentre())
                                .put("address", status.address())
                                .put("generation", status.generation())
                                .put("serving", status.state())
                                .put("lastHeardMillis", status.lastHeardMillis()));
        return reply(200, node);
    }

    private static ObjectNode result(String result) {
        return DaemonJson.newObject().put("result", result);
    }

    private static Reply reply(int status, JsonNode body) {
        return new Reply(status, DaemonJson.toBytes(body));
    }
}
