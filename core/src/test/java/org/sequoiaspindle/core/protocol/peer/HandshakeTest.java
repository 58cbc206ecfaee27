package org.sequoiaspindle.core.protocol.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import org.junit.jupiter.api.Test;

/** Tests that a peer without the shared secret cannot complete the handshake. */
final class HandshakeTest {

    private static PeerSettings settings(String instance, String secret) {
        return new PeerSettings(
                instance, "dc", instance + ":1", 1, PeerSecret.of(secret), Vector.empty());
    }

    private static Handshake accepting(String nonce) {
        return Handshake.forAcceptor(settings("b", "secret"), nonce);
    }

    @Test
    void bothSidesLearnTheIdentityOfTheOther() {
        Handshake dialler = Handshake.forDialler(settings("a", "secret"), "n1");
        Handshake.Step hello = accepting("n2").receive(dialler.hello());
        Handshake.Step proof = dialler.receive(hello.replies().head());
        Handshake.Step acceptorStep = hello.next().receive(proof.replies().head());
        Handshake.Step diallerStep = proof.next().receive(acceptorStep.replies().head());
        assertEquals("a", acceptorStep.authenticatedPeer().get().instance());
        assertEquals("b", diallerStep.authenticatedPeer().get().instance());
    }

    @Test
    void recordedProofIsRejectedOnAnotherLink() {
        Handshake dialler = Handshake.forDialler(settings("a", "secret"), "n1");
        Handshake.Step hello = accepting("n2").receive(dialler.hello());
        PeerMessage recordedProof = dialler.receive(hello.replies().head()).replies().head();
        Handshake.Step replayStep =
                accepting("n3").receive(dialler.hello()).next().receive(recordedProof);
        assertTrue(replayStep.failure().isDefined());
        assertTrue(replayStep.replies().isEmpty());
    }

    @Test
    void proofCannotBeReflectedToItsSender() {
        Handshake dialler = Handshake.forDialler(settings("a", "secret"), "n1");
        PeerMessage hello = Handshake.forAcceptor(settings("x", "guess"), "n1").hello();
        Handshake.Step step = dialler.receive(hello);
        assertTrue(step.next().receive(step.replies().head()).failure().isDefined());
    }

    @Test
    void messageBeforeTheProofClosesTheLink() {
        Handshake.Step hello =
                accepting("n2").receive(Handshake.forDialler(settings("a", "x"), "n1").hello());
        assertTrue(hello.next().receive(new PeerMessage.FetchHead(1)).failure().isDefined());
        assertTrue(accepting("n2").receive(new PeerMessage.FetchHead(1)).failure().isDefined());
    }

    @Test
    void secretIsNotPrinted() {
        assertTrue(!settings("a", "hidden-word").toString().contains("hidden-word"));
    }
}
