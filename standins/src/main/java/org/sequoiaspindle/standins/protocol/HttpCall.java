package org.sequoiaspindle.standins.protocol;

import java.util.Map;
import java.util.Optional;
import org.sequoiaspindle.standins.state.Content;

/**
 * A request that has arrived in full.
 *
 * @param path decoded path without the query
 * @param query first value of each query parameter
 * @param headers header values by lower-case name
 */
public record HttpCall(
        String method,
        String path,
        Map<String, String> query,
        Map<String, String> headers,
        Content body) {

    public HttpCall {
        query = Map.copyOf(query);
        headers = Map.copyOf(headers);
    }

    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }

    /**
     * A whole number from the query.
     *
     * @throws IllegalArgumentException if it is missing or malformed
     */
    public long requiredNumber(String name) {
        return number(name)
                .orElseThrow(
                        () -> new IllegalArgumentException("query parameter " + name + " missing"));
    }

    public Optional<Long> number(String name) {
        return Optional.ofNullable(query.get(name)).map(Long::valueOf);
    }
}
