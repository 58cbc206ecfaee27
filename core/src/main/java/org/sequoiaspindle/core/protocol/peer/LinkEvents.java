package org.sequoiaspindle.core.protocol.peer;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * What a transport reports of links. Events of one link come one at a time: opened first, closed
 * last.
 *
 * @param opened a connection is open
 * @param received a message has arrived
 * @param closed the connection is gone, for whatever reason
 * @param failed a connection that was asked for could not be opened
 */
public record LinkEvents(
        Consumer<PeerLink> opened,
        BiConsumer<PeerLink, PeerMessage> received,
        Consumer<PeerLink> closed,
        Runnable failed) {}
