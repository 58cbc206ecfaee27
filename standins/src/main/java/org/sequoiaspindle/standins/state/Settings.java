package org.sequoiaspindle.standins.state;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Named option values, from the command line or from a fleet file. */
public record Settings(Map<String, String> values) {

    public Settings {
        values = Map.copyOf(values);
    }

    public static Settings none() {
        return new Settings(Map.of());
    }

    /**
     * Checks the names.
     *
     * @throws IllegalArgumentException if a name is not in the given set
     */
    public Settings allowing(Set<String> names) {
        Set<String> unknown = new TreeSet<>(values.keySet());
        unknown.removeAll(names);
        if (!unknown.isEmpty()) {
            throw new IllegalArgumentException(
                    "unknown options " + unknown + "; known: " + new TreeSet<>(names));
        }
        return this;
    }

    public String text(String name, String fallback) {
        return values.getOrDefault(name, fallback);
    }

    public int whole(String name, int fallback) {
        return Math.toIntExact(wholeLong(name, fallback));
    }

    public long wholeLong(String name, long fallback) {
        return values.containsKey(name) ? Long.parseLong(values.get(name)) : fallback;
    }

    public double decimal(String name, double fallback) {
        return values.containsKey(name) ? Double.parseDouble(values.get(name)) : fallback;
    }
}
