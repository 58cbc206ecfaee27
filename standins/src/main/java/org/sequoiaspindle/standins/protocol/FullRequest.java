package org.sequoiaspindle.standins.protocol;

import java.util.Map;
import java.util.Optional;
import org.sequoiaspindle.standins.state.ImmutableBytes;

/**
 * A complete HTTP request.
 *
 * @param path decoded path without the query
 * @param query first value of each query parameter
 * @param headers header values by lower-case name
 */
public record FullRequest(
        String method,
        String path,
        Map<String, String> query,
        Map<String, String> headers,
        ImmutableBytes body) {

    public FullRequest {
        query = Map.copyOf(query);
        headers = Map.copyOf(headers);
    }

    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }

    /**
     * Returns an integer query parameter.
     *
     * @throws IllegalArgumentException if the parameter is missing or malformed
     */
    public long requiredNumber(String name) {
        return optionalNumber(name)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "query parameter " + name + " is missing"));
    }

    public Optional<Long> optionalNumber(String name) {
        return Optional.ofNullable(query.get(name)).map(Long::valueOf);
    }
}
