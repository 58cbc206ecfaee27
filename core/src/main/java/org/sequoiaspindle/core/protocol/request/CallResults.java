package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.CallReport;
import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.coordination.routing.CallReport.ResultKind;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;

/**
 * Pure functions that validate the result of an attempt and convert the result for routing and
 * messages.
 */
final class CallResults {

    private CallResults() {}

    /**
     * Returns the result, or {@link CallResult.Unknown} if the answer belongs to another attempt or
     * the stream is incomplete.
     */
    static CallResult validate(EndpointCall call, CallResult result, StreamAssembler stream) {
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

    /** Converts a result to the report for the scheduler of the endpoint group. */
    static CallReport toCallReport(
            CallResult result, boolean cancelled, long serviceMs, long size) {
        Option<EndpointLoad> load =
                result.load()
                        .map(
                                loadReport ->
                                        new EndpointLoad(
                                                loadReport.running(),
                                                loadReport.queued(),
                                                loadReport.slots(),
                                                loadReport.leaving()));
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

    /** Returns the human-readable reason of a result, or an empty string for a completed call. */
    static String reasonOf(CallResult result) {
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
