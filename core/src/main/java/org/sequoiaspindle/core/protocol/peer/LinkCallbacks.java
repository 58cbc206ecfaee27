package org.sequoiaspindle.core.protocol.peer;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Callbacks by which a transport reports events of links. The events of a link arrive one at a
 * time. The opened event is the first and the closed event the last.
 *
 * @param opened called when a connection is open
 * @param received called when a message has arrived
 * @param closed called when a connection has closed, for any reason
 * @param failed called when a requested connection could not be opened
 */
public record LinkCallbacks(
        Consumer<PeerLink> opened,
        BiConsumer<PeerLink, PeerMessage> received,
        Consumer<PeerLink> closed,
        Runnable failed) {}
