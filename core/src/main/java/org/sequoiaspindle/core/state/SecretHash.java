package org.sequoiaspindle.core.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

/** Salted SHA-256 hashes of secrets in the form {@code sha256:<salt hex>:<digest hex>}. */
public final class SecretHash {

    private static final String SCHEME = "sha256";
    private static final int DIGEST_HEX_LENGTH = 64;

    private SecretHash() {}

    /** Returns the hash of a secret with the given salt. */
    public static String of(String secret, byte[] salt) {
        String digest = HexFormat.of().formatHex(digest(secret, salt));
        return SCHEME + ":" + HexFormat.of().formatHex(salt) + ":" + digest;
    }

    /** Returns whether the string is a well-formed secret hash. */
    public static boolean isWellFormed(String hash) {
        String[] parts = hash.split(":", -1);
        return parts.length == 3
                && parts[0].equals(SCHEME)
                && isHex(parts[1])
                && !parts[1].isEmpty()
                && parts[2].length() == DIGEST_HEX_LENGTH
                && isHex(parts[2]);
    }

    /** Returns whether the secret matches the hash. Compares the digests in constant time. */
    public static boolean matches(String secret, String hash) {
        if (!isWellFormed(hash)) {
            return false;
        }
        String[] parts = hash.split(":", -1);
        byte[] expectedDigest = HexFormat.of().parseHex(parts[2]);
        return MessageDigest.isEqual(
                expectedDigest, digest(secret, HexFormat.of().parseHex(parts[1])));
    }

    private static boolean isHex(String string) {
        return string.length() % 2 == 0
                && string.equals(string.toLowerCase(Locale.ROOT))
                && string.chars().allMatch(c -> Character.digit(c, 16) >= 0);
    }

    private static byte[] digest(String secret, byte[] salt) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(salt);
            return sha.digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
