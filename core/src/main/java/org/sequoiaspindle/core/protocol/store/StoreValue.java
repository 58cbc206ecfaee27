package org.sequoiaspindle.core.protocol.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Immutable bytes of a stored value. */
public final class StoreValue {

    /** Maximum size of a value in the key-value service, in bytes. */
    public static final int MAX_BYTES = 1_000_000;

    private final byte[] bytes;

    private StoreValue(byte[] bytes) {
        this.bytes = bytes;
    }

    public static StoreValue of(byte[] bytes) {
        return new StoreValue(bytes.clone());
    }

    public static StoreValue ofString(String text) {
        return new StoreValue(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a copy of the bytes. */
    public byte[] bytes() {
        return bytes.clone();
    }

    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoreValue that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }
}
