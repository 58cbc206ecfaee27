package org.sequoiaspindle.core.protocol.publication;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests of strings in lower-case hexadecimal. */
public final class Sha256 {
    private static final int HEX_LENGTH = 64;

    private Sha256() {}

    /** Returns the digest of the UTF-8 bytes of the string. */
    public static String of(String text) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /** Returns true if the string consists of 64 lower-case hexadecimal digits. */
    public static boolean isWellFormed(String digest) {
        return digest.length() == HEX_LENGTH
                && digest.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f');
    }
}
