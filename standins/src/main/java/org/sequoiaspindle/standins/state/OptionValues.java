package org.sequoiaspindle.standins.state;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Option values by name, from the command line or from a fleet file. */
public record OptionValues(Map<String, String> values) {

    public OptionValues {
        values = Map.copyOf(values);
    }

    public static OptionValues none() {
        return new OptionValues(Map.of());
    }

    /**
     * Returns this object if the set contains the names of all options.
     *
     * @throws IllegalArgumentException if the name of an option is not in the set
     */
    public OptionValues requireKnownNames(Set<String> knownNames) {
        Set<String> unknownNames = new TreeSet<>(values.keySet());
        unknownNames.removeAll(knownNames);
        if (!unknownNames.isEmpty()) {
            throw new IllegalArgumentException(
                    "unknown options " + unknownNames + "; known: " + new TreeSet<>(knownNames));
        }
        return this;
    }

    public String stringValue(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    public int intValue(String name, int defaultValue) {
        return Math.toIntExact(longValue(name, defaultValue));
    }

    public long longValue(String name, long defaultValue) {
        return values.containsKey(name) ? Long.parseLong(values.get(name)) : defaultValue;
    }

    public double doubleValue(String name, double defaultValue) {
        return values.containsKey(name) ? Double.parseDouble(values.get(name)) : defaultValue;
    }
}
