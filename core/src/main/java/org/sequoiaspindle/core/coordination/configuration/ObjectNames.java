package org.sequoiaspindle.core.coordination.configuration;

import java.util.regex.Pattern;

/** Format of object names, and escaping of strings for messages. */
public final class ObjectNames {

    /** Description of the format, for messages. */
    public static final String FORMAT_DESCRIPTION = "1 to 64 characters out of A-Z a-z 0-9 . _ -";

    private static final int MAX_QUOTED_CHARACTERS = 64;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private ObjectNames() {}

    public static boolean isWellFormed(String name) {
        return NAME.matcher(name).matches();
    }

    /**
     * Returns the name of an object if it is well formed, otherwise its position among the objects
     * of its kind, starting at 1.
     */
    public static String labelOf(String name, int position) {
        return isWellFormed(name) ? name : "#" + position;
    }

    /** Returns the string in quotes, truncated and with unprintable characters replaced. */
    public static String quoted(String value) {
        String truncatedValue =
                value.length() <= MAX_QUOTED_CHARACTERS
                        ? value
                        : value.substring(0, MAX_QUOTED_CHARACTERS) + "...";
        return '"' + printable(truncatedValue) + '"';
    }

    /**
     * Returns the string with control and format characters replaced, because they could change the
     * state of an operator's terminal.
     */
    public static String printable(String value) {
        StringBuilder printableValue = new StringBuilder();
        value.codePoints()
                .map(c -> Character.isISOControl(c) || isFormat(c) ? '?' : c)
                .forEach(printableValue::appendCodePoint);
        return printableValue.toString();
    }

    private static boolean isFormat(int codePoint) {
        int type = Character.getType(codePoint);
        return type == Character.FORMAT || type == Character.SURROGATE;
    }
}
