package org.sequoiaspindle.core.protocol.peer;

import java.util.function.Predicate;

/**
 * An open connection to a peer, created by a transport. Delivers messages in order and at most once
 * until the link is closed. Two links are equal only if they have the same function objects.
 *
 * @param remote address of the other end, for logs
 * @param sender queues a message without blocking; returns false if the message will never be sent,
 *     and true if part of the message may have left this process
 * @param closer closes the connection, which triggers the closed event
 */
public record PeerLink(String remote, Predicate<PeerMessage> sender, Runnable closer) {

    boolean send(PeerMessage message) {
        return sender.test(message);
    }

    void close() {
        closer.run();
    }
}
