package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** State of one link: the handshake, the peer and the time of the last message from the peer. */
final class PeerSession {

    private final PeerLink link;
    private final Option<String> dialledAddress;
    private final long openedAtMillis;
    private final AtomicReference<State> state;

    PeerSession(PeerLink link, Option<String> dialledAddress, Handshake handshake, long nowMillis) {
        this.link = link;
        this.dialledAddress = dialledAddress;
        this.openedAtMillis = nowMillis;
        this.state = new AtomicReference<>(new State(handshake, Option.none(), nowMillis, false));
    }

    private record State(
            Handshake handshake,
            Option<PeerMessage.Hello> peer,
            long lastMessageAtMillis,
            boolean neededByPeer) {}

    PeerLink link() {
        return link;
    }

    Option<String> dialledAddress() {
        return dialledAddress;
    }

    boolean isDialled() {
        return dialledAddress.isDefined();
    }

    boolean send(PeerMessage message) {
        return link.send(message);
    }

    Handshake handshake() {
        return state.get().handshake();
    }

    /** Returns the hello of the peer, or none before the handshake is complete. */
    Option<PeerMessage.Hello> peer() {
        return state.get().peer();
    }

    boolean isEstablished() {
        return peer().isDefined();
    }

    boolean isInDataCentre(String dataCentre) {
        return peer().exists(hello -> hello.dataCentre().equals(dataCentre));
    }

    boolean hasAddress(String address) {
        return dialledAddress.contains(address)
                || peer().exists(hello -> hello.address().equals(address));
    }

    boolean isNeededByPeer() {
        return state.get().neededByPeer();
    }

    /**
     * Returns the milliseconds since the last message or, before the end of the handshake, since
     * the link was opened.
     */
    long silenceMillis(long nowMillis) {
        return nowMillis - (isEstablished() ? state.get().lastMessageAtMillis() : openedAtMillis);
    }

    long ageMillis(long nowMillis) {
        return nowMillis - openedAtMillis;
    }

    void advanceHandshake(Handshake next, Option<PeerMessage.Hello> authenticatedPeer) {
        update(
                current ->
                        new State(
                                next,
                                authenticatedPeer,
                                current.lastMessageAtMillis(),
                                current.neededByPeer()));
    }

    void recordMessageReceived(long nowMillis) {
        update(
                current ->
                        new State(
                                current.handshake(),
                                current.peer(),
                                nowMillis,
                                current.neededByPeer()));
    }

    void setNeededByPeer(boolean needed) {
        update(
                current ->
                        new State(
                                current.handshake(),
                                current.peer(),
                                current.lastMessageAtMillis(),
                                needed));
    }

    private void update(UnaryOperator<State> change) {
        state.updateAndGet(change);
    }
}
