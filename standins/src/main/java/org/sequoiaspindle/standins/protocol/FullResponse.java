package org.sequoiaspindle.standins.protocol;

import java.util.HashMap;
import java.util.Map;
import org.sequoiaspindle.standins.state.ImmutableBytes;

/** A complete HTTP response. */
public record FullResponse(int status, Map<String, String> headers, ImmutableBytes body) {

    private static final String CONTENT_TYPE = "Content-Type";

    public FullResponse {
        headers = Map.copyOf(headers);
    }

    public static FullResponse empty(int status) {
        return new FullResponse(status, Map.of(), ImmutableBytes.empty());
    }

    public static FullResponse bytes(ImmutableBytes body) {
        return new FullResponse(200, Map.of(CONTENT_TYPE, "application/octet-stream"), body);
    }

    /** Returns a response with the value as a JSON body. */
    public static FullResponse json(int status, Object value) {
        return new FullResponse(
                status,
                Map.of(CONTENT_TYPE, "application/json"),
                ImmutableBytes.of(StandinJson.write(value)));
    }

    /** Returns a response with a human-readable error message. */
    public static FullResponse error(int status, String reason) {
        return json(status, Map.of("error", reason));
    }

    public FullResponse withHeader(String name, Object value) {
        Map<String, String> extendedHeaders = new HashMap<>(headers);
        extendedHeaders.put(name, value.toString());
        return new FullResponse(status, extendedHeaders, body);
    }
}
