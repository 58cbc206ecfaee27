package org.sequoiaspindle.core.protocol.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Secret that the instances of an installation share. Its text form does not show it. */
public final class PeerSecret {

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    private PeerSecret(SecretKeySpec key) {
        this.key = key;
    }

    /**
     * Secret from the settings.
     *
     * @throws IllegalArgumentException if it is empty
     */
    public static PeerSecret of(String text) {
        return new PeerSecret(new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /** HMAC-SHA256 of the texts in hexadecimal; lengths keep their boundaries apart. */
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
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /** Compares in constant time, so that the answer time tells nothing of the expected proof. */
    static boolean same(String expected, String given) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.UTF_8), given.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return "PeerSecret[hidden]";
    }
}
