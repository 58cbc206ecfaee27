package org.sequoiaspindle.cli.protocol;

import java.util.function.Consumer;

/** Sends requests of commands to an instance. */
@FunctionalInterface
public interface InstanceClient {

    /**
     * Sends a request and waits until the response is complete or the call fails.
     *
     * @param instance {@code ip:port}
     * @param request request to send
     * @param eventBytes receives the bytes of an event stream in order as they arrive
     */
    InstanceCallResult call(String instance, InstanceRequest request, Consumer<byte[]> eventBytes);
}
