package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.CallReport;
import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.coordination.routing.CallReport.ResultKind;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;

/** Validates the result of an attempt and converts it for routing and messages. Pure functions. */
final class CallResults {

    private CallResults() {}

    /**
     * Returns the result, or {@link CallResult.Unknown} if the answer belongs to another attempt or
     * the stream is incomplete.
     */
    static CallResult validated(EndpointCall call, CallResult result, StreamAssembler stream) {
        if (!(result instanceof CallResult.Completed completed)) {
            return result;
        }
        if (!completed.requestId().equals(call.requestId())
                || completed.attempt() != call.attempt()) {
            return new CallResult.Unknown("the answer belongs to another call");
        }
        if (call.streams() && !stream.isComplete(completed.tokens())) {
            return new CallResult.Unknown("the stream is incomplete");
        }
        return completed;
    }

    /** Report of a result for the scheduler of the endpoint group. */
    static CallReport toCallReport(
            CallResult result, boolean cancelled, long serviceMs, long size) {
        Option<EndpointLoad> load =
                result.load()
                        .map(
                                reported ->
                                        new EndpointLoad(
                                                reported.running(),
                                                reported.queued(),
                                                reported.slots(),
                                                reported.leaving()));
        return new CallReport(toKind(result, cancelled), serviceMs, size, load);
    }

    private static ResultKind toKind(CallResult result, boolean cancelled) {
        if (result instanceof CallResult.Completed) {
            return ResultKind.COMPLETED;
        }
        if (result instanceof CallResult.NotSent) {
            return ResultKind.NOT_SENT;
        }
        if (result instanceof CallResult.Refused) {
            return ResultKind.REFUSED;
        }
        if (cancelled) {
            return ResultKind.CANCELLED;
        }
        return result instanceof CallResult.Failed ? ResultKind.FAILED : ResultKind.UNKNOWN;
    }

    /** Human-readable reason of a result, empty for a completed call. */
    static String reasonText(CallResult result) {
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
