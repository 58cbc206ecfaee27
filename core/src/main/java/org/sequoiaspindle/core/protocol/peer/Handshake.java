package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Handshake that opens a link. Each side sends a nonce and proves that it knows the shared secret
 * with an HMAC over both nonces, so that a recorded proof is useless on another link. The HMAC
 * includes the role of the sender, so that a proof is useless when sent back to the instance that
 * created the proof. The dialling side sends its proof first, so that a peer without the secret
 * never receives a proof. Immutable.
 */
final class Handshake {

    private static final int VERSION = 1;

    private final PeerSecret secret;
    private final PeerMessage.Hello localHello;
    private final boolean isDialler;
    private final Option<PeerMessage.Hello> peerHello;

    private Handshake(
            PeerSecret secret,
            PeerMessage.Hello localHello,
            boolean isDialler,
            Option<PeerMessage.Hello> peerHello) {
        this.secret = secret;
        this.localHello = localHello;
        this.isDialler = isDialler;
        this.peerHello = peerHello;
    }

    /**
     * Result of processing a message.
     *
     * @param next state of the handshake after the message
     * @param replies messages to send, in order
     * @param authenticatedPeer hello of the peer, once the peer has proved that it knows the secret
     * @param failure reason why the link must be closed, empty if the link stays open
     */
    record Step(
            Handshake next,
            Vector<PeerMessage> replies,
            Option<PeerMessage.Hello> authenticatedPeer,
            Option<String> failure) {}

    static Handshake forDialler(PeerSettings settings, String nonce) {
        return new Handshake(settings.secret(), hello(settings, nonce), true, Option.none());
    }

    static Handshake forAcceptor(PeerSettings settings, String nonce) {
        return new Handshake(settings.secret(), hello(settings, nonce), false, Option.none());
    }

    private static PeerMessage.Hello hello(PeerSettings settings, String nonce) {
        return new PeerMessage.Hello(
                VERSION,
                settings.instance(),
                settings.dataCentre(),
                settings.address(),
                settings.incarnation(),
                nonce);
    }

    /** Returns the hello of this side. The dialling side sends this hello as the first message. */
    PeerMessage.Hello hello() {
        return localHello;
    }

    Step receive(PeerMessage message) {
        if (message instanceof PeerMessage.Hello hello && peerHello.isEmpty()) {
            return receiveHello(hello);
        }
        if (message instanceof PeerMessage.HelloProof proof && peerHello.isDefined()) {
            return receiveProof(proof, peerHello.get());
        }
        return failed("message received before the end of the handshake");
    }

    private Step receiveHello(PeerMessage.Hello hello) {
        if (hello.instance().equals(localHello.instance())) {
            return failed("the peer has the identifier of this instance");
        }
        Handshake next = new Handshake(secret, localHello, isDialler, Option.of(hello));
        PeerMessage reply = isDialler ? new PeerMessage.HelloProof(next.proof(true)) : localHello;
        return new Step(next, Vector.of(reply), Option.none(), Option.none());
    }

    private Step receiveProof(PeerMessage.HelloProof proof, PeerMessage.Hello hello) {
        if (!PeerSecret.matches(proof(!isDialler), proof.proof())) {
            return failed("the peer sent a wrong proof of the shared secret");
        }
        Vector<PeerMessage> replies =
                isDialler ? Vector.empty() : Vector.of(new PeerMessage.HelloProof(proof(false)));
        return new Step(this, replies, Option.of(hello), Option.none());
    }

    private Step failed(String reason) {
        return new Step(this, Vector.empty(), Option.none(), Option.of(reason));
    }

    private String proof(boolean isProofOfDialler) {
        PeerMessage.Hello dialler = isDialler ? localHello : peerHello.get();
        PeerMessage.Hello acceptor = isDialler ? peerHello.get() : localHello;
        return secret.proof(
                isProofOfDialler ? "dialler" : "acceptor",
                dialler.nonce(),
                dialler.instance(),
                dialler.dataCentre(),
                dialler.address(),
                Long.toString(dialler.incarnation()),
                acceptor.nonce(),
                acceptor.instance(),
                acceptor.dataCentre(),
                acceptor.address(),
                Long.toString(acceptor.incarnation()));
    }
}
