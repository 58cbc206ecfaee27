package org.sequoiaspindle.core.protocol.peer;

import java.util.Map;

/**
 * Reads required fields of a decoded MessagePack map. A field that is missing or of another type
 * causes an {@link IllegalArgumentException} with a description.
 */
public final class TreeFields {

    private TreeFields() {}

    public static String string(Map<?, ?> fields, String name) {
        if (fields.get(name) instanceof String value) {
            return value;
        }
        throw new IllegalArgumentException(name + " is not a string");
    }

    public static long number(Map<?, ?> fields, String name) {
        if (fields.get(name) instanceof Long number) {
            return number;
        }
        throw new IllegalArgumentException(name + " is not a number");
    }
}
