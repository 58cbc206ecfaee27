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
 * Typed access to the fields of one JSON object of the settings. Collects problems rather than
 * throwing an exception, so that all problems are reported at once. An invalid field is read as a
 * placeholder value. Not thread-safe.
 */
final class SettingsFields {

    private final String path;
    private final int line;
    private final Map<String, LocatedJson> fields;
    private final List<SettingsProblem> problems;
    private Set<String> requestedNames = HashSet.empty();

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
     * Returns the fields of a nested object. If the object is missing, all fields of the result are
     * absent.
     */
    SettingsFields object(String name) {
        LocatedJson value = lookUp(name).getOrElse(new LocatedJson(line, LinkedHashMap.empty()));
        return new SettingsFields(pathOf(name), value, problems, "write an object");
    }

    boolean has(String name) {
        return lookUp(name).isDefined();
    }

    /**
     * Returns a mandatory string field. If the field is missing or invalid, adds a problem and
     * returns an empty string.
     */
    String requiredString(String name, Predicate<String> isValid, String expectation) {
        return optionalString(name, isValid, expectation)
                .getOrElse(
                        () -> {
                            if (!has(name)) {
                                addProblem(line, name, "is missing; " + expectation);
                            }
                            return "";
                        });
    }

    Option<String> optionalString(String name, Predicate<String> isValid, String expectation) {
        return lookUp(name)
                .flatMap(
                        value -> {
                            if (value.value() instanceof String string && isValid.test(string)) {
                                return Option.of(string);
                            }
                            addProblem(value.line(), name, expectation);
                            return Option.none();
                        });
    }

    Vector<String> stringList(String name, Predicate<String> isValid, String expectation) {
        Option<LocatedJson> array = lookUp(name);
        if (array.isEmpty()) {
            return Vector.empty();
        }
        if (!(array.get().value() instanceof Vector<?> items)) {
            addProblem(array.get().line(), name, "write an array; " + expectation);
            return Vector.empty();
        }
        Vector<String> strings = Vector.empty();
        for (Object item : items) {
            LocatedJson located = (LocatedJson) item;
            if (located.value() instanceof String string && isValid.test(string)) {
                strings = strings.append(string);
            } else {
                addProblem(located.line(), name, expectation);
            }
        }
        return strings;
    }

    long number(String name, long min, long max, Option<Long> defaultValue) {
        Option<LocatedJson> value = lookUp(name);
        String expectation = "write a whole number from " + min + " to " + max;
        if (value.isEmpty()) {
            if (defaultValue.isEmpty()) {
                addProblem(line, name, "is missing; " + expectation);
            }
            return defaultValue.getOrElse(min);
        }
        if (value.get().value() instanceof Long number && number >= min && number <= max) {
            return number;
        }
        addProblem(value.get().line(), name, expectation);
        return min;
    }

    /** Returns a mandatory numeric field, with or without a fraction. */
    double decimal(String name, double min, double max) {
        Option<LocatedJson> value = lookUp(name);
        String expectation = "write a number from " + min + " to " + max;
        if (value.isEmpty()) {
            addProblem(line, name, "is missing; " + expectation);
            return min;
        }
        if (value.get().value() instanceof Number number
                && number.doubleValue() >= min
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        addProblem(value.get().line(), name, expectation);
        return min;
    }

    boolean flag(String name, boolean defaultValue) {
        Option<LocatedJson> value = lookUp(name);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (value.get().value() instanceof Boolean flag) {
            return flag;
        }
        addProblem(value.get().line(), name, "write true or false");
        return defaultValue;
    }

    void addProblem(String name, String message) {
        addProblem(fields.get(name).map(LocatedJson::line).getOrElse(line), name, message);
    }

    /** Adds a problem for each field that no method has read or looked up. */
    void rejectUnknownFields() {
        fields.filterKeys(name -> !requestedNames.contains(name))
                .forEach(
                        (name, value) ->
                                addProblem(
                                        value.line(),
                                        name,
                                        "is not a setting; remove it or use one of "
                                                + requestedNames.toSortedSet().mkString(", ")));
    }

    private Option<LocatedJson> lookUp(String name) {
        requestedNames = requestedNames.add(name);
        return fields.get(name);
    }

    private void addProblem(int problemLine, String name, String message) {
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
