package org.sequoiaspindle.cli.protocol;

/** Result of one HTTP call to an instance. */
public sealed interface InstanceReply {

    /** The complete response arrived; {@code body} is empty for an event stream. */
    record Replied(String instance, int status, boolean eventStream, String body)
            implements InstanceReply {}

    /** No connection could be established, so nothing was sent. */
    record NotConnected(String instance, String reason) implements InstanceReply {}

    /** The connection was lost or timed out; the request may have taken effect. */
    record ConnectionLost(String instance, String reason) implements InstanceReply {}
}
