package org.sequoiaspindle.core.protocol.peer;

import java.util.function.Predicate;

/**
 * An open connection to a peer, as a transport hands it out. It delivers messages in order and at
 * most once, or is closed. Links are told apart by the identity of their functions.
 *
 * @param remote address of the other end, for logs
 * @param sender queues a message for sending without blocking; false if it will never be sent, true
 *     if it may have left this process
 * @param closer closes the connection; the closed event follows
 */
public record PeerLink(String remote, Predicate<PeerMessage> sender, Runnable closer) {

    boolean send(PeerMessage message) {
        return sender.test(message);
    }

    void close() {
        closer.run();
    }
}
