package org.sequoiaspindle.standins.protocol;

import java.util.HashMap;
import java.util.Map;
import org.sequoiaspindle.standins.state.ImmutableBytes;

/** A complete HTTP response. */
public record HttpReply(int status, Map<String, String> headers, ImmutableBytes body) {

    private static final String CONTENT_TYPE = "Content-Type";

    public HttpReply {
        headers = Map.copyOf(headers);
    }

    public static HttpReply empty(int status) {
        return new HttpReply(status, Map.of(), ImmutableBytes.empty());
    }

    public static HttpReply bytes(ImmutableBytes body) {
        return new HttpReply(200, Map.of(CONTENT_TYPE, "application/octet-stream"), body);
    }

    /** Returns a response with the value as a JSON body. */
    public static HttpReply json(int status, Object value) {
        return new HttpReply(
                status,
                Map.of(CONTENT_TYPE, "application/json"),
                ImmutableBytes.of(StandinJson.write(value)));
    }

    /** Returns a response with a human-readable error message. */
    public static HttpReply error(int status, String reason) {
        return json(status, Map.of("error", reason));
    }

    public HttpReply withHeader(String name, Object value) {
        Map<String, String> extendedHeaders = new HashMap<>(headers);
        extendedHeaders.put(name, value.toString());
        return new HttpReply(status, extendedHeaders, body);
    }
}
