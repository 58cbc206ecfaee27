package org.sequoiaspindle.cli.protocol;

/** Result of an HTTP call to an instance. */
public sealed interface InstanceCallResult {

    /** The complete response arrived; {@code body} is empty for an event stream. */
    record CompleteResponse(String instance, int status, boolean eventStream, String body)
            implements InstanceCallResult {}

    /** No connection could be established, so nothing was sent. */
    record NotConnected(String instance, String reason) implements InstanceCallResult {}

    /** The connection was lost or timed out; the request may have taken effect. */
    record ConnectionLost(String instance, String reason) implements InstanceCallResult {}
}
