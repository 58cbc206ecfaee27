package org.sequoiaspindle.core.protocol.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Secret shared by all instances of an installation. {@link #toString} does not reveal the secret.
 */
public final class PeerSecret {

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    private PeerSecret(SecretKeySpec key) {
        this.key = key;
    }

    /**
     * Creates a secret from the string in the settings.
     *
     * @throws IllegalArgumentException if the string is empty
     */
    public static PeerSecret of(String secret) {
        return new PeerSecret(
                new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /**
     * Returns the HMAC-SHA256 of the strings in hexadecimal. The length of each string is hashed
     * before its bytes, so that different lists of strings with the same concatenation have
     * different HMACs.
     */
    String proof(String... values) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            for (String value : values) {
                byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
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
