package org.sequoiaspindle.daemon.protocol.endpoint;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.LoadReport;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/**
 * Reads one HTTP answer of an endpoint and classifies the call by what the answer proves. A status
 * of 400 or above is a verdict of its own, whatever becomes of the body. Confined to one thread;
 * not used after it gave a result.
 */
public final class EndpointAnswerReader {

    /** Largest body of an answer that is not streamed. */
    public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final int OK = 200;
    private static final int FIRST_ERROR = 400;
    private static final int UNAVAILABLE = 503;
    private static final String EVENT_STREAM = "text/event-stream";

    private final EndpointCall call;
    private final TokenSink sink;
    private final EventStreamDecoder events = new EventStreamDecoder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean notRun;
    private boolean streaming;
    private long tokensSeen;

    public EndpointAnswerReader(EndpointCall call, TokenSink sink) {
        this.call = call;
        this.sink = sink;
    }

    /**
     * Takes the head of the answer.
     *
     * @param notRunHeader whether the endpoint says that it did not run the call
     * @param contentType media type of the body, empty for none
     */
    public Option<CallResult> head(int newStatus, boolean notRunHeader, String contentType) {
        status = newStatus;
        notRun = notRunHeader;
        streaming = status == OK && contentType.startsWith(EVENT_STREAM);
        if (status < FIRST_ERROR && status != OK) {
            return unknown("unexpected status " + status);
        }
        if (status == OK && streaming != call.streams()) {
            return unknown("unexpected content type");
        }
        return Option.none();
    }

    /** Takes the next bytes of the body; a result ends the reading. */
    public Option<CallResult> body(byte[] bytes) {
        if (streaming) {
            return events.accept(bytes).fold(this::unknown, this::readEvents);
        }
        if (body.size() + bytes.length > MAX_BODY_BYTES) {
            return Option.of(broken("answer larger than " + MAX_BODY_BYTES + " bytes"));
        }
        body.write(bytes, 0, bytes.length);
        return Option.none();
    }

    /** Verdict after the whole body has arrived. */
    public CallResult end() {
        if (status >= FIRST_ERROR) {
            return verdictOfStatus(EndpointMessages.load(body.toByteArray()));
        }
        if (streaming) {
            return new CallResult.Unknown("the stream ended without an end event");
        }
        return EndpointMessages.answer(body.toByteArray())
                .<CallResult>map(completed -> completed)
                .getOrElse(() -> new CallResult.Unknown("malformed answer"));
    }

    /** Verdict if nothing more can be read, for the reason given. */
    public CallResult broken(String reason) {
        return status >= FIRST_ERROR
                ? verdictOfStatus(Option.none())
                : new CallResult.Unknown(reason);
    }

    private CallResult verdictOfStatus(Option<LoadReport> load) {
        return status == UNAVAILABLE && notRun
                ? new CallResult.Refused("the endpoint refused the call", load)
                : new CallResult.Failed("status " + status, load);
    }

    private Option<CallResult> readEvents(Vector<EventStreamDecoder.Event> arrived) {
        for (EventStreamDecoder.Event event : arrived) {
            Option<CallResult> result = readEvent(event);
            if (result.isDefined()) {
                return result;
            }
        }
        return Option.none();
    }

    /** Events of other names are left to later versions of the protocol. */
    private Option<CallResult> readEvent(EventStreamDecoder.Event event) {
        return switch (event.name()) {
            case "token" ->
                    EndpointMessages.token(event.data())
                            .map(this::deliver)
                            .getOrElse(() -> unknown("malformed token"));
            case "end" ->
                    EndpointMessages.end(event.data())
                            .map(this::checkTotal)
                            .orElse(() -> unknown("malformed end event"));
            default -> Option.none();
        };
    }

    private Option<CallResult> deliver(Token token) {
        tokensSeen++;
        return sink.accept(token) ? Option.none() : unknown("the receiver gave up the stream");
    }

    private CallResult checkTotal(CallResult.Completed completed) {
        long expected = call.resumeFrom() + tokensSeen;
        return completed.tokens() == expected
                ? completed
                : new CallResult.Unknown(
                        "the stream has " + expected + " of " + completed.tokens() + " tokens");
    }

    private Option<CallResult> unknown(String reason) {
        return Option.of(new CallResult.Unknown(reason));
    }
}
