package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Typed access to the fields of a message by name. Fields that are not read are ignored. */
final class MessageFields {

    private final Map<String, Object> values;

    private MessageFields(Map<String, Object> values) {
        this.values = values;
    }

    /** Parses one value of a message. */
    @FunctionalInterface
    interface Parser<S, T> {
        T parse(S source) throws MalformedMessageException;
    }

    /** Builds fields from alternating names and values. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return fields;
    }

    static MessageFields fromMap(Object tree) throws MalformedMessageException {
        if (!(tree instanceof Map<?, ?> map)) {
            throw new MalformedMessageException("expected a map");
        }
        Map<String, Object> values = new LinkedHashMap<>();
        map.forEach((key, value) -> values.put((String) key, value));
        return new MessageFields(values);
    }

    /**
     * Reads fields sent as an array without names. Additional values at the end, sent by a later
     * version, are ignored.
     */
    static MessageFields fromArray(Object tree, String... names) throws MalformedMessageException {
        if (!(tree instanceof List<?> list) || list.size() < names.length) {
            throw new MalformedMessageException(
                    "expected an array of at least " + names.length + " values");
        }
        Map<String, Object> values = new LinkedHashMap<>();
        for (int i = 0; i < names.length; i++) {
            values.put(names[i], list.get(i));
        }
        return new MessageFields(values);
    }

    Map<String, Object> values() {
        return values;
    }

    Object value(String name) {
        return values.get(name);
    }

    boolean has(String name) {
        return values.get(name) != null;
    }

    long number(String name) throws MalformedMessageException {
        return cast(Long.class, values.get(name), name);
    }

    int integer(String name) throws MalformedMessageException {
        return integer(values.get(name), name);
    }

    String text(String name) throws MalformedMessageException {
        return text(values.get(name), name);
    }

    boolean flag(String name) throws MalformedMessageException {
        return cast(Boolean.class, values.get(name), name);
    }

    MessageFields nested(String name) throws MalformedMessageException {
        return fromMap(values.get(name));
    }

    <T> Vector<T> list(String name, Parser<Object, T> element) throws MalformedMessageException {
        List<?> list = cast(List.class, values.get(name), name);
        ArrayList<T> parsed = new ArrayList<>(list.size());
        for (Object value : list) {
            parsed.add(element.parse(value));
        }
        return Vector.ofAll(parsed);
    }

    <T extends Enum<T>> T enumConstant(String name, Class<T> type)
            throws MalformedMessageException {
        int ordinal = integer(name);
        T[] constants = type.getEnumConstants();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new MalformedMessageException("unknown value of field " + name);
        }
        return constants[ordinal];
    }

    static String text(Object value, String name) throws MalformedMessageException {
        return cast(String.class, value, name);
    }

    static int integer(Object value, String name) throws MalformedMessageException {
        long number = cast(Long.class, value, name);
        if (number != (int) number) {
            throw new MalformedMessageException("value out of range in field " + name);
        }
        return (int) number;
    }

    private static <T> T cast(Class<T> type, Object value, String name)
            throws MalformedMessageException {
        if (!type.isInstance(value)) {
            throw new MalformedMessageException("missing value or wrong type in field " + name);
        }
        return type.cast(value);
    }
}
