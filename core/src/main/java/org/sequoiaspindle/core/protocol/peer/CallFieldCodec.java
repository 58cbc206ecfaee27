package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Option;
import java.util.Map;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointLoadReport;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;

/** Converts forwarded calls and their results to message fields and back. */
final class CallFieldCodec {

    private CallFieldCodec() {}

    static Map<String, Object> write(EndpointCall call) {
        return MessageFields.of(
                "requestId", call.requestId().value(),
                "organisation", call.organisation(),
                "stage", call.stage(),
                "attempt", call.attempt(),
                "group", call.endpoint(),
                "address", call.address(),
                "input", call.input(),
                "maxTokens", call.maxTokens(),
                "resumeFrom", call.resumeFrom(),
                "resumeText", call.resumeText(),
                "size", call.sizeClass().ordinal(),
                "streams", call.streams(),
                "remainingMs", call.remainingMillis(),
                "traceParent", call.traceParent());
    }

    static EndpointCall readCall(MessageFields fields) throws MalformedMessageException {
        return new EndpointCall(
                new RequestId(fields.text("requestId")),
                fields.text("organisation"),
                fields.text("stage"),
                fields.integer("attempt"),
                fields.text("group"),
                fields.text("address"),
                fields.text("input"),
                fields.integer("maxTokens"),
                fields.number("resumeFrom"),
                fields.text("resumeText"),
                fields.enumConstant("size", SizeClass.class),
                fields.flag("streams"),
                fields.number("remainingMs"),
                fields.text("traceParent"));
    }

    static Map<String, Object> write(CallResult result) {
        Map<String, Object> fields = kindSpecificFields(result);
        result.load()
                .forEach(
                        load ->
                                fields.put(
                                        "load",
                                        MessageFields.of(
                                                "running", load.running(),
                                                "queued", load.queued(),
                                                "slots", load.slots(),
                                                "leaving", load.leaving())));
        return fields;
    }

    private static Map<String, Object> kindSpecificFields(CallResult result) {
        if (result instanceof CallResult.Completed completed) {
            return MessageFields.of(
                    "verdict", "completed",
                    "requestId", completed.requestId().value(),
                    "attempt", completed.attempt(),
                    "output", completed.output(),
                    "tokens", completed.tokens());
        }
        if (result instanceof CallResult.NotSent notSent) {
            return MessageFields.of("verdict", "notSent", "reason", notSent.reason());
        }
        if (result instanceof CallResult.Refused refused) {
            return MessageFields.of("verdict", "refused", "reason", refused.reason());
        }
        if (result instanceof CallResult.Failed failed) {
            return MessageFields.of("verdict", "failed", "reason", failed.reason());
        }
        return MessageFields.of(
                "verdict", "unknown", "reason", ((CallResult.Unknown) result).reason());
    }

    static CallResult readResult(MessageFields fields) throws MalformedMessageException {
        Option<EndpointLoadReport> load =
                fields.has("load") ? Option.of(readLoad(fields.nested("load"))) : Option.none();
        switch (fields.text("verdict")) {
            case "completed":
                return new CallResult.Completed(
                        new RequestId(fields.text("requestId")),
                        fields.integer("attempt"),
                        fields.text("output"),
                        fields.number("tokens"),
                        load);
            case "notSent":
                return new CallResult.NotSent(fields.text("reason"));
            case "refused":
                return new CallResult.Refused(fields.text("reason"), load);
            case "failed":
                return new CallResult.Failed(fields.text("reason"), load);
            default:
                // A result kind added by a later version proves nothing about the execution of the
                // call.
                return new CallResult.Unknown(fields.has("reason") ? fields.text("reason") : "");
        }
    }

    private static EndpointLoadReport readLoad(MessageFields fields)
            throws MalformedMessageException {
        return new EndpointLoadReport(
                fields.integer("running"),
                fields.integer("queued"),
                fields.integer("slots"),
                fields.flag("leaving"));
    }
}
