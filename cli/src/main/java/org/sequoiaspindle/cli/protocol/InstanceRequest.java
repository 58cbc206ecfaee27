package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import org.sequoiaspindle.cli.state.Credential;

/**
 * A request to the operator or caller interface of an instance.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers headers other than {@code Authorization}
 * @param body JSON text, empty for none
 * @param credential credential of the sender
 */
public record InstanceRequest(
        String method,
        String path,
        Map<String, String> headers,
        String body,
        Credential credential) {

    /** A GET request. */
    public static InstanceRequest read(String path, Credential credential) {
        return new InstanceRequest("GET", path, LinkedHashMap.empty(), "", credential);
    }
}
