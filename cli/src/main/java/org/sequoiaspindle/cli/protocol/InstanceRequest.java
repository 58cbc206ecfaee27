package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import org.sequoiaspindle.cli.state.Credential;

/**
 * An HTTP request to an instance.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers headers other than {@code Authorization}
 * @param body JSON document, or an empty string for no body
 * @param credential credential of the sender
 */
public record InstanceRequest(
        String method,
        String path,
        Map<String, String> headers,
        String body,
        Credential credential) {

    /** Creates a GET request. */
    public static InstanceRequest get(String path, Credential credential) {
        return new InstanceRequest("GET", path, LinkedHashMap.empty(), "", credential);
    }
}
