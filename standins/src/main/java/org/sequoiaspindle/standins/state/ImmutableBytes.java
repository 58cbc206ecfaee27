package org.sequoiaspindle.standins.state;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Immutable bytes of a message body or of a stored value. */
public final class ImmutableBytes {

    private static final ImmutableBytes EMPTY = new ImmutableBytes(new byte[0]);

    private final byte[] bytes;

    private ImmutableBytes(byte[] bytes) {
        this.bytes = bytes;
    }

    public static ImmutableBytes empty() {
        return EMPTY;
    }

    public static ImmutableBytes of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new ImmutableBytes(bytes.clone());
    }

    public static ImmutableBytes of(String string) {
        return new ImmutableBytes(string.getBytes(StandardCharsets.UTF_8));
    }

    public int size() {
        return bytes.length;
    }

    public byte[] toBytes() {
        return bytes.clone();
    }

    public String toUtf8String() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ImmutableBytes that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "ImmutableBytes[" + bytes.length + " bytes]";
    }
}
