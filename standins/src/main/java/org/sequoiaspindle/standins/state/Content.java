package org.sequoiaspindle.standins.state;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Immutable bytes of a message body or of a stored value. */
public final class Content {

    private static final Content EMPTY = new Content(new byte[0]);

    private final byte[] bytes;

    private Content(byte[] bytes) {
        this.bytes = bytes;
    }

    public static Content empty() {
        return EMPTY;
    }

    public static Content of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Content(bytes.clone());
    }

    public static Content of(String text) {
        return new Content(text.getBytes(StandardCharsets.UTF_8));
    }

    public int size() {
        return bytes.length;
    }

    public byte[] toBytes() {
        return bytes.clone();
    }

    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Content content && Arrays.equals(bytes, content.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Content[" + bytes.length + " bytes]";
    }
}
