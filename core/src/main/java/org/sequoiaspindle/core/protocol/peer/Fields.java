package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Fields of a message by name, with typed access. Fields that nobody asks for are skipped. */
final class Fields {

    private final Map<String, Object> values;

    private Fields(Map<String, Object> values) {
        this.values = values;
    }

    /** Parses one value of a message. */
    @FunctionalInterface
    interface Parser<S, T> {
        T parse(S source) throws MalformedMessageException;
    }

    /** Tree of fields, given as names and values in turn. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return fields;
    }

    static Fields read(Object tree) throws MalformedMessageException {
        if (!(tree instanceof Map<?, ?> map)) {
            throw new MalformedMessageException("a map was expected");
        }
        Map<String, Object> values = new LinkedHashMap<>();
        map.forEach((key, value) -> values.put((String) key, value));
        return new Fields(values);
    }

    /** Fields that are sent as an array; values of a later version behind them are skipped. */
    static Fields named(Object tree, String... names) throws MalformedMessageException {
        if (!(tree instanceof List<?> list) || list.size() < names.length) {
            throw new MalformedMessageException("an array of " + names.length + " was expected");
        }
        Map<String, Object> values = new LinkedHashMap<>();
        for (int i = 0; i < names.length; i++) {
            values.put(names[i], list.get(i));
        }
        return new Fields(values);
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

    Fields fields(String name) throws MalformedMessageException {
        return read(values.get(name));
    }

    <T> Vector<T> list(String name, Parser<Object, T> element) throws MalformedMessageException {
        List<?> list = cast(List.class, values.get(name), name);
        ArrayList<T> parsed = new ArrayList<>(list.size());
        for (Object value : list) {
            parsed.add(element.parse(value));
        }
        return Vector.ofAll(parsed);
    }

    <T extends Enum<T>> T choice(String name, Class<T> type) throws MalformedMessageException {
        int ordinal = integer(name);
        T[] constants = type.getEnumConstants();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new MalformedMessageException("unknown value of " + name);
        }
        return constants[ordinal];
    }

    static String text(Object value, String name) throws MalformedMessageException {
        return cast(String.class, value, name);
    }

    static int integer(Object value, String name) throws MalformedMessageException {
        long number = cast(Long.class, value, name);
        if (number != (int) number) {
            throw new MalformedMessageException("out of range: " + name);
        }
        return (int) number;
    }

    private static <T> T cast(Class<T> type, Object value, String name)
            throws MalformedMessageException {
        if (!type.isInstance(value)) {
            throw new MalformedMessageException("missing or of the wrong type: " + name);
        }
        return type.cast(value);
    }
}
