package org.sequoiaspindle.core.protocol.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.core.util.Separators;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Writes object sets as JSON. Kinds and fields have a fixed order, objects are sorted by name and
 * absent optional fields are omitted, so that sets with the same objects result in the same
 * document.
 */
public final class ObjectSetWriter {

    private static final JsonFactory FACTORY = new JsonFactory();

    private static final Separators SEPARATORS =
            Separators.createDefaultInstance()
                    .withObjectFieldValueSpacing(Separators.Spacing.AFTER)
                    .withArrayEmptySeparator("");

    private ObjectSetWriter() {}

    /** Returns the canonical document, without whitespace. */
    public static String write(ObjectSet set) {
        return toJson(set, false);
    }

    /** Returns the same document with line breaks and indentation. */
    public static String writePretty(ObjectSet set) {
        return toJson(set, true);
    }

    private static String toJson(ObjectSet set, boolean pretty) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            if (pretty) {
                json.setPrettyPrinter(new DefaultPrettyPrinter(SEPARATORS));
            }
            json.writeStartObject();
            for (ObjectKind<?> kind : ObjectKind.ALL) {
                writeKind(json, kind, set);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a string failed", e);
        }
        return out.toString();
    }

    private static <T extends NamedObject> void writeKind(
            JsonGenerator json, ObjectKind<T> kind, ObjectSet set) throws IOException {
        json.writeArrayFieldStart(kind.name());
        for (T object : kind.sorted(set)) {
            json.writeStartObject();
            for (ObjectKind.Field<T> field : kind.fields()) {
                writeField(json, field.name(), field.value().apply(object));
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeField(JsonGenerator json, String name, Object value)
            throws IOException {
        if (value instanceof Option<?> option) {
            if (option.isDefined()) {
                writeField(json, name, option.get());
            }
            return;
        }
        json.writeFieldName(name);
        writeValue(json, value);
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Vector<?> items) {
            json.writeStartArray();
            for (Object item : items) {
                writeValue(json, item);
            }
            json.writeEndArray();
        } else if (value instanceof Integer number) {
            json.writeNumber(number);
        } else if (value instanceof Boolean bool) {
            json.writeBoolean(bool);
        } else if (value instanceof Enum<?> constant) {
            json.writeString(ObjectFactories.nameOf(constant));
        } else {
            json.writeString((String) value);
        }
    }
}
