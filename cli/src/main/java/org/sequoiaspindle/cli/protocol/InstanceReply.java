package org.sequoiaspindle.cli.protocol;

/** Result of one call of an instance. */
public sealed interface InstanceReply {

    /** The whole answer arrived; the body of an event stream is empty here. */
    record Replied(String instance, int status, boolean eventStream, String body)
            implements InstanceReply {}

    /** No connection was made, so nothing was sent. */
    record NotConnected(String instance, String reason) implements InstanceReply {}

    /** The connection was lost or silent; the request may have taken effect. */
    record Broken(String instance, String reason) implements InstanceReply {}
}
