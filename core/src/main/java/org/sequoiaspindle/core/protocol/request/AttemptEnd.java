package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.CallReport;
import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.coordination.routing.CallReport.Kind;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;

/** Examines the result of an attempt. Pure functions. */
final class AttemptEnd {

    private AttemptEnd() {}

    /**
     * The result as the request may use it: an answer that belongs to another attempt, or a stream
     * that is not whole, counts as no verdict.
     */
    static CallResult verified(EndpointCall call, CallResult result, StreamAssembler stream) {
        if (!(result instanceof CallResult.Completed completed)) {
            return result;
        }
        if (!completed.requestId().equals(call.requestId())
                || completed.attempt() != call.attempt()) {
            return new CallResult.Unknown("the answer belongs to another call");
        }
        if (call.streams() && !stream.isWhole(completed.tokens())) {
            return new CallResult.Unknown("the stream is not whole");
        }
        return completed;
    }

    /** What routing learns from a result. */
    static CallReport report(CallResult result, boolean cancelled, long serviceMs, long size) {
        Option<EndpointLoad> load =
                result.load()
                        .map(
                                told ->
                                        new EndpointLoad(
                                                told.running(),
                                                told.queued(),
                                                told.slots(),
                                                told.leaving()));
        return new CallReport(kind(result, cancelled), serviceMs, size, load);
    }

    private static Kind kind(CallResult result, boolean cancelled) {
        if (result instanceof CallResult.Completed) {
            return Kind.COMPLETED;
        }
        if (result instanceof CallResult.NotSent) {
            return Kind.NOT_SENT;
        }
        if (result instanceof CallResult.Refused) {
            return Kind.REFUSED;
        }
        if (cancelled) {
            return Kind.CANCELLED;
        }
        return result instanceof CallResult.Failed ? Kind.FAILED : Kind.UNKNOWN;
    }

    /** Text that explains a result to people. */
    static String detail(CallResult result) {
        if (result instanceof CallResult.NotSent notSent) {
            return notSent.reason();
        }
        if (result instanceof CallResult.Refused refused) {
            return refused.reason();
        }
        if (result instanceof CallResult.Failed failed) {
            return failed.reason();
        }
        return result instanceof CallResult.Unknown unknown ? unknown.reason() : "";
    }
}
