package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** State of one link: its handshake, then who is at the other end and when it was heard. */
final class PeerSession {

    private final PeerLink link;
    private final Option<String> dialledAddress;
    private final long openedAtMillis;
    private final AtomicReference<Progress> progress;

    PeerSession(PeerLink link, Option<String> dialledAddress, Handshake handshake, long nowMillis) {
        this.link = link;
        this.dialledAddress = dialledAddress;
        this.openedAtMillis = nowMillis;
        this.progress =
                new AtomicReference<>(new Progress(handshake, Option.none(), nowMillis, false));
    }

    private record Progress(
            Handshake handshake,
            Option<PeerMessage.Hello> peer,
            long heardAtMillis,
            boolean chosenByPeer) {}

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
        return progress.get().handshake();
    }

    /** Who is at the other end, once the handshake is complete. */
    Option<PeerMessage.Hello> peer() {
        return progress.get().peer();
    }

    boolean isEstablished() {
        return peer().isDefined();
    }

    boolean isFrom(String dataCentre) {
        return peer().exists(hello -> hello.dataCentre().equals(dataCentre));
    }

    boolean reaches(String address) {
        return dialledAddress.contains(address)
                || peer().exists(hello -> hello.address().equals(address));
    }

    boolean isChosenByPeer() {
        return progress.get().chosenByPeer();
    }

    /** Milliseconds since the last message; before the end of the handshake, since the opening. */
    long silentMillis(long nowMillis) {
        return nowMillis - (isEstablished() ? progress.get().heardAtMillis() : openedAtMillis);
    }

    long ageMillis(long nowMillis) {
        return nowMillis - openedAtMillis;
    }

    void advance(Handshake next, Option<PeerMessage.Hello> established) {
        update(p -> new Progress(next, established, p.heardAtMillis(), p.chosenByPeer()));
    }

    void heard(long nowMillis) {
        update(p -> new Progress(p.handshake(), p.peer(), nowMillis, p.chosenByPeer()));
    }

    void chosenByPeer(boolean chosen) {
        update(p -> new Progress(p.handshake(), p.peer(), p.heardAtMillis(), chosen));
    }

    private void update(UnaryOperator<Progress> change) {
        progress.updateAndGet(change);
    }
}
