package org.sequoiaspindle.cli.protocol;

import java.util.function.Consumer;

/** Port by which commands reach an instance. */
@FunctionalInterface
public interface InstanceCaller {

    /**
     * Sends a request and waits for the whole answer.
     *
     * @param instance {@code ip:port}
     * @param request what to send
     * @param events receives the bytes of an event stream in order while they arrive
     */
    InstanceReply call(String instance, InstanceRequest request, Consumer<byte[]> events);
}
