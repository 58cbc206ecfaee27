package org.sequoiaspindle.daemon.protocol.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.sequoiaspindle.core.protocol.request.CallerRequest;
import org.sequoiaspindle.daemon.protocol.BearerCredential;
import org.sequoiaspindle.daemon.protocol.DaemonJson;

/** Reads a caller's request from the headers and the body of an HTTP request. */
public final class CallerRequestReader {

    /** Largest body, in bytes. */
    public static final int MAX_BODY_BYTES = 1024 * 1024;

    private static final int MAX_KEY_LENGTH = 200;
    private static final Pattern TRACE_PARENT =
            Pattern.compile("00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}");

    private CallerRequestReader() {}

    /**
     * Reads a request and checks the headers and fields.
     *
     * @param header returns the value of the header with the given name, or none if it is absent
     */
    public static Either<HttpRejection, CallerRequest> read(
            String pipeline, Function<String, Option<String>> header, byte[] body) {
        return header.apply("Authorization")
                .flatMap(BearerCredential::parse)
                .toEither(
                        HttpRejection.unauthenticated(
                                "send Authorization: Bearer <organisation>:<secret>"))
                .flatMap(credential -> read(credential, pipeline, header, body));
    }

    private static Either<HttpRejection, CallerRequest> read(
            BearerCredential credential,
            String pipeline,
            Function<String, Option<String>> header,
            byte[] body) {
        Either<HttpRejection, Option<Long>> deadline =
                deadline(header.apply("Sequoia-Deadline-Ms"));
        Option<String> key = header.apply("Idempotency-Key");
        if (deadline.isLeft()) {
            return Either.left(deadline.getLeft());
        }
        if (key.exists(text -> text.isEmpty() || text.length() > MAX_KEY_LENGTH)) {
            return malformed("Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
        if (body.length > MAX_BODY_BYTES) {
            return Either.left(HttpRejection.tooLarge());
        }
        Option<JsonNode> object = DaemonJson.parseObject(body);
        if (object.isEmpty()) {
            return malformed("the body must be a JSON object");
        }
        Option<String> input = object.flatMap(node -> DaemonJson.stringField(node, "input"));
        Option<Integer> maxTokens = object.flatMap(node -> DaemonJson.intField(node, "maxTokens"));
        if (input.isEmpty()) {
            return malformed("the field input must be a string");
        }
        if (!maxTokens.exists(value -> value >= 1)) {
            return malformed("the field maxTokens must be a whole number of at least 1");
        }
        return Either.right(
                new CallerRequest(
                        credential.name(),
                        credential.secret(),
                        pipeline,
                        input.get(),
                        maxTokens.get(),
                        deadline.get(),
                        key,
                        traceParent(header.apply("traceparent"))));
    }

    private static Either<HttpRejection, Option<Long>> deadline(Option<String> header) {
        if (header.isEmpty()) {
            return Either.right(Option.none());
        }
        return header.flatMap(text -> Try.of(() -> Long.parseLong(text)).toOption())
                .filter(millis -> millis > 0)
                .map(Option::some)
                .toEither(
                        HttpRejection.malformed(
                                "Sequoia-Deadline-Ms must be a whole number of at least 1"));
    }

    /**
     * Returns the trace context. A malformed trace context is ignored, so that a new trace is
     * started, as the W3C recommendation requires.
     */
    private static String traceParent(Option<String> header) {
        return header.filter(text -> TRACE_PARENT.matcher(text).matches()).getOrElse("");
    }

    private static Either<HttpRejection, CallerRequest> malformed(String detail) {
        return Either.left(HttpRejection.malformed(detail));
    }
}
