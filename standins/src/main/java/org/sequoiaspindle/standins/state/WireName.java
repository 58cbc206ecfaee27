package org.sequoiaspindle.standins.state;

import java.util.Arrays;
import java.util.Locale;

/**
 * Converts between enum constants such as {@code STALE_READ} and the camel case names in messages
 * such as {@code staleRead}.
 */
public final class WireName {

    private WireName() {}

    public static <E extends Enum<E>> String of(E constant) {
        StringBuilder name = new StringBuilder();
        for (String word : constant.name().toLowerCase(Locale.ROOT).split("_")) {
            name.append(name.length() == 0 ? word : capitalised(word));
        }
        return name.toString();
    }

    /**
     * Returns the constant with a camel case name.
     *
     * @throws IllegalArgumentException if no constant has the name; the message lists the valid
     *     names
     */
    public static <E extends Enum<E>> E parse(Class<E> type, String name) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> of(constant).equals(name))
                .findFirst()
                .orElseThrow(() -> unknownName(type, name));
    }

    private static <E extends Enum<E>> IllegalArgumentException unknownName(
            Class<E> type, String name) {
        String validNames =
                String.join(
                        ", ", Arrays.stream(type.getEnumConstants()).map(WireName::of).toList());
        return new IllegalArgumentException("unknown name " + name + "; known: " + validNames);
    }

    private static String capitalised(String word) {
        return word.substring(0, 1).toUpperCase(Locale.ROOT) + word.substring(1);
    }
}
