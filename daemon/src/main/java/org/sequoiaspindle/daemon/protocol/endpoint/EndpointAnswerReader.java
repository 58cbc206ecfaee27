package org.sequoiaspindle.daemon.protocol.endpoint;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointLoadReport;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/**
 * Reads one HTTP response of an endpoint and derives the result of the call from what the response
 * proves about the execution of the call. A status of 400 or above determines the result alone,
 * even if the body is malformed or incomplete. Confined to one thread; must not be used after it
 * returned a result.
 */
public final class EndpointAnswerReader {

    /** Largest body of a response that is not streamed, in bytes. */
    public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final int OK = 200;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String EVENT_STREAM = "text/event-stream";

    private final EndpointCall call;
    private final TokenSink sink;
    private final EventStreamDecoder decoder = new EventStreamDecoder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean endpointDidNotRun;
    private boolean streaming;
    private long deliveredTokens;

    public EndpointAnswerReader(EndpointCall call, TokenSink sink) {
        this.call = call;
        this.sink = sink;
    }

    /**
     * Reads the status and the headers of the response.
     *
     * @param notRunHeader whether the headers state that the endpoint did not run the call
     * @param contentType media type of the body, empty for none
     * @return the result if status and headers already determine it
     */
    public Option<CallResult> readHead(int newStatus, boolean notRunHeader, String contentType) {
        status = newStatus;
        endpointDidNotRun = notRunHeader;
        streaming = status == OK && contentType.startsWith(EVENT_STREAM);
        if (status < FIRST_ERROR_STATUS && status != OK) {
            return unknown("unexpected status " + status);
        }
        if (status == OK && streaming != call.streams()) {
            return unknown("unexpected content type");
        }
        return Option.none();
    }

    /**
     * Reads the next bytes of the body; returns the result if the bytes read so far determine it.
     */
    public Option<CallResult> readBody(byte[] bytes) {
        if (streaming) {
            return decoder.decode(bytes).fold(this::unknown, this::readEvents);
        }
        if (body.size() + bytes.length > MAX_BODY_BYTES) {
            return Option.of(incompleteResult("response larger than " + MAX_BODY_BYTES + " bytes"));
        }
        body.write(bytes, 0, bytes.length);
        return Option.none();
    }

    /** Returns the result after the whole body has been read. */
    public CallResult endOfBody() {
        if (status >= FIRST_ERROR_STATUS) {
            return errorStatusResult(EndpointMessages.parseLoad(body.toByteArray()));
        }
        if (streaming) {
            return new CallResult.Unknown("the stream ended without an end event");
        }
        return EndpointMessages.parseAnswer(body.toByteArray())
                .<CallResult>map(completed -> completed)
                .getOrElse(() -> new CallResult.Unknown("malformed answer"));
    }

    /**
     * Returns the result of a call whose response cannot be read to the end, for the given reason.
     */
    public CallResult incompleteResult(String reason) {
        return status >= FIRST_ERROR_STATUS
                ? errorStatusResult(Option.none())
                : new CallResult.Unknown(reason);
    }

    private CallResult errorStatusResult(Option<EndpointLoadReport> load) {
        return status == SERVICE_UNAVAILABLE && endpointDidNotRun
                ? new CallResult.Refused("the endpoint refused the call", load)
                : new CallResult.Failed("status " + status, load);
    }

    private Option<CallResult> readEvents(Vector<EventStreamDecoder.Event> events) {
        for (EventStreamDecoder.Event event : events) {
            Option<CallResult> result = readEvent(event);
            if (result.isDefined()) {
                return result;
            }
        }
        return Option.none();
    }

    /**
     * Reads one event. Ignores events with unknown names, which later versions of the protocol may
     * add.
     */
    private Option<CallResult> readEvent(EventStreamDecoder.Event event) {
        return switch (event.name()) {
            case "token" ->
                    EndpointMessages.parseToken(event.data())
                            .map(this::deliverToken)
                            .getOrElse(() -> unknown("malformed token"));
            case "end" ->
                    EndpointMessages.parseEnd(event.data())
                            .map(this::checkTokenCount)
                            .orElse(() -> unknown("malformed end event"));
            default -> Option.none();
        };
    }

    private Option<CallResult> deliverToken(Token token) {
        deliveredTokens++;
        return sink.accept(token) ? Option.none() : unknown("the receiver cancelled the stream");
    }

    private CallResult checkTokenCount(CallResult.Completed completed) {
        long expectedTokens = call.resumeFrom() + deliveredTokens;
        return completed.tokens() == expectedTokens
                ? completed
                : new CallResult.Unknown(
                        "the stream has "
                                + expectedTokens
                                + " of "
                                + completed.tokens()
                                + " tokens");
    }

    private Option<CallResult> unknown(String reason) {
        return Option.of(new CallResult.Unknown(reason));
    }
}
