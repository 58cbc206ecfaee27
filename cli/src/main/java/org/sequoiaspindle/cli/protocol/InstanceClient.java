package org.sequoiaspindle.cli.protocol;

import java.util.function.Consumer;

/** Sends requests of commands to an instance. */
@FunctionalInterface
public interface InstanceClient {

    /**
     * Sends a request and waits for the complete response.
     *
     * @param instance {@code ip:port}
     * @param request request to send
     * @param events receives the bytes of an event stream in order as they arrive
     */
    InstanceReply call(String instance, InstanceRequest request, Consumer<byte[]> events);
}
