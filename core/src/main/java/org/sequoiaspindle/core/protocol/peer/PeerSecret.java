package org.sequoiaspindle.core.protocol.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Secret shared by all instances of an installation. {@link #toString} does not reveal it. */
public final class PeerSecret {

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    private PeerSecret(SecretKeySpec key) {
        this.key = key;
    }

    /**
     * Creates a secret from its text in the settings.
     *
     * @throws IllegalArgumentException if it is empty
     */
    public static PeerSecret of(String text) {
        return new PeerSecret(new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /**
     * HMAC-SHA256 of the texts in hexadecimal. Each text is preceded by its length, so that texts
     * split at different positions have different HMACs.
     */
    String proof(String... texts) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            for (String text : texts) {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                mac.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
                mac.update(bytes);
            }
            return HexFormat.of().formatHex(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
        }
    }

    /**
     * Compares two proofs in constant time, so that the response time reveals nothing about the
     * expected proof.
     */
    static boolean matches(String expected, String received) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.UTF_8),
                received.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return "PeerSecret[hidden]";
    }
}
