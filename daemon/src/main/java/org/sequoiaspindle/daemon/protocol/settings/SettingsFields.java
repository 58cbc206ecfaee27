package org.sequoiaspindle.daemon.protocol.settings;

import io.vavr.collection.HashSet;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.List;
import java.util.function.Predicate;

/**
 * Typed access to the fields of one JSON object of the settings. Problems are collected rather than
 * thrown, so that all are reported at once; an invalid field is read as a placeholder value. Not
 * thread-safe.
 */
final class SettingsFields {

    private final String path;
    private final int line;
    private final Map<String, LocatedJson> fields;
    private final List<SettingsProblem> problems;
    private Set<String> knownNames = HashSet.empty();

    private SettingsFields(
            String path, LocatedJson object, List<SettingsProblem> problems, String expectation) {
        this.path = path;
        this.line = object.line();
        this.problems = problems;
        this.fields = fieldsOf(object);
        if (!(object.value() instanceof Map)) {
            problems.add(new SettingsProblem(line, path, expectation));
        }
    }

    static SettingsFields of(LocatedJson root, List<SettingsProblem> problems) {
        return new SettingsFields("", root, problems, "write one JSON object");
    }

    /**
     * Returns the fields of a nested object. If the object is missing, all its fields are absent.
     */
    SettingsFields object(String name) {
        LocatedJson value = lookUp(name).getOrElse(new LocatedJson(line, LinkedHashMap.empty()));
        return new SettingsFields(pathOf(name), value, problems, "write an object");
    }

    boolean has(String name) {
        return lookUp(name).isDefined();
    }

    /**
     * Returns a mandatory string field; reports a problem and returns an empty string if it is
     * missing or invalid.
     */
    String requiredText(String name, Predicate<String> check, String expectation) {
        return optionalText(name, check, expectation)
                .getOrElse(
                        () -> {
                            if (!has(name)) {
                                report(line, name, "is missing; " + expectation);
                            }
                            return "";
                        });
    }

    Option<String> optionalText(String name, Predicate<String> check, String expectation) {
        return lookUp(name)
                .flatMap(
                        value -> {
                            if (value.value() instanceof String text && check.test(text)) {
                                return Option.of(text);
                            }
                            report(value.line(), name, expectation);
                            return Option.none();
                        });
    }

    Vector<String> textList(String name, Predicate<String> check, String expectation) {
        Option<LocatedJson> array = lookUp(name);
        if (array.isEmpty()) {
            return Vector.empty();
        }
        if (!(array.get().value() instanceof Vector<?> items)) {
            report(array.get().line(), name, "write an array; " + expectation);
            return Vector.empty();
        }
        Vector<String> texts = Vector.empty();
        for (Object item : items) {
            LocatedJson located = (LocatedJson) item;
            if (located.value() instanceof String text && check.test(text)) {
                texts = texts.append(text);
            } else {
                report(located.line(), name, expectation);
            }
        }
        return texts;
    }

    long number(String name, long min, long max, Option<Long> fallback) {
        Option<LocatedJson> value = lookUp(name);
        String expectation = "write a whole number from " + min + " to " + max;
        if (value.isEmpty()) {
            if (fallback.isEmpty()) {
                report(line, name, "is missing; " + expectation);
            }
            return fallback.getOrElse(min);
        }
        if (value.get().value() instanceof Long number && number >= min && number <= max) {
            return number;
        }
        report(value.get().line(), name, expectation);
        return min;
    }

    /** Returns a mandatory numeric field, with or without a fraction. */
    double decimal(String name, double min, double max) {
        Option<LocatedJson> value = lookUp(name);
        String expectation = "write a number from " + min + " to " + max;
        if (value.isEmpty()) {
            report(line, name, "is missing; " + expectation);
            return min;
        }
        if (value.get().value() instanceof Number number
                && number.doubleValue() >= min
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        report(value.get().line(), name, expectation);
        return min;
    }

    boolean flag(String name, boolean fallback) {
        Option<LocatedJson> value = lookUp(name);
        if (value.isEmpty()) {
            return fallback;
        }
        if (value.get().value() instanceof Boolean flag) {
            return flag;
        }
        report(value.get().line(), name, "write true or false");
        return fallback;
    }

    void report(String name, String message) {
        report(fields.get(name).map(LocatedJson::line).getOrElse(line), name, message);
    }

    /** Reports every field whose name was never requested. */
    void reportUnknownFields() {
        fields.filterKeys(name -> !knownNames.contains(name))
                .forEach(
                        (name, value) ->
                                report(
                                        value.line(),
                                        name,
                                        "is not a setting; remove it or use one of "
                                                + knownNames.toSortedSet().mkString(", ")));
    }

    private Option<LocatedJson> lookUp(String name) {
        knownNames = knownNames.add(name);
        return fields.get(name);
    }

    private void report(int problemLine, String name, String message) {
        problems.add(new SettingsProblem(problemLine, pathOf(name), message));
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, LocatedJson> fieldsOf(LocatedJson object) {
        return object.value() instanceof Map<?, ?> map
                ? (Map<String, LocatedJson>) map
                : LinkedHashMap.empty();
    }
}
