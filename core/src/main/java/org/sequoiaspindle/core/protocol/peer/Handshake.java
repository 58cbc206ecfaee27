package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Opening of one link. Each side sends a nonce and proves knowledge of the shared secret over both
 * nonces, so that a recorded proof is worthless on another link. The role is part of the proof, so
 * that a proof cannot be reflected to its sender. The dialling side proves first; a caller without
 * the secret never receives a proof. Immutable.
 */
final class Handshake {

    private static final int VERSION = 1;

    private final PeerSecret secret;
    private final PeerMessage.Hello own;
    private final boolean dialling;
    private final Option<PeerMessage.Hello> peer;

    private Handshake(
            PeerSecret secret,
            PeerMessage.Hello own,
            boolean dialling,
            Option<PeerMessage.Hello> peer) {
        this.secret = secret;
        this.own = own;
        this.dialling = dialling;
        this.peer = peer;
    }

    /**
     * What follows from a message.
     *
     * @param next handshake after the message
     * @param replies messages to send, in order
     * @param established hello of the peer once it has proved knowledge of the secret
     * @param failure why the link must be closed
     */
    record Step(
            Handshake next,
            Vector<PeerMessage> replies,
            Option<PeerMessage.Hello> established,
            Option<String> failure) {}

    static Handshake dialling(PeerSettings settings, String nonce) {
        return new Handshake(settings.secret(), hello(settings, nonce), true, Option.none());
    }

    static Handshake accepting(PeerSettings settings, String nonce) {
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

    /** Sent first by the dialling side. */
    PeerMessage.Hello hello() {
        return own;
    }

    Step receive(PeerMessage message) {
        if (message instanceof PeerMessage.Hello hello && peer.isEmpty()) {
            return receiveHello(hello);
        }
        if (message instanceof PeerMessage.HelloProof proof && peer.isDefined()) {
            return receiveProof(proof, peer.get());
        }
        return failed("message before the end of the handshake");
    }

    private Step receiveHello(PeerMessage.Hello hello) {
        if (hello.instance().equals(own.instance())) {
            return failed("peer has this instance's own identifier");
        }
        Handshake next = new Handshake(secret, own, dialling, Option.of(hello));
        PeerMessage reply = dialling ? new PeerMessage.HelloProof(next.proof(true)) : own;
        return new Step(next, Vector.of(reply), Option.none(), Option.none());
    }

    private Step receiveProof(PeerMessage.HelloProof proof, PeerMessage.Hello hello) {
        if (!PeerSecret.same(proof(!dialling), proof.proof())) {
            return failed("wrong proof of the shared secret");
        }
        Vector<PeerMessage> replies =
                dialling ? Vector.empty() : Vector.of(new PeerMessage.HelloProof(proof(false)));
        return new Step(this, replies, Option.of(hello), Option.none());
    }

    private Step failed(String reason) {
        return new Step(this, Vector.empty(), Option.none(), Option.of(reason));
    }

    private String proof(boolean ofDialler) {
        PeerMessage.Hello dialler = dialling ? own : peer.get();
        PeerMessage.Hello acceptor = dialling ? peer.get() : own;
        return secret.proof(
                ofDialler ? "dialler" : "acceptor",
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
