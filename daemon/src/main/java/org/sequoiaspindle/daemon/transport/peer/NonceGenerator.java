package org.sequoiaspindle.daemon.transport.peer;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.function.Supplier;

/**
 * Generates nonces of 128 bits in hexadecimal from the JVM's secure random number generator.
 * Thread-safe.
 */
public final class NonceGenerator implements Supplier<String> {

    private static final int BYTES = 16;

    private final SecureRandom random = new SecureRandom();

    @Override
    public String get() {
        byte[] bytes = new byte[BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
