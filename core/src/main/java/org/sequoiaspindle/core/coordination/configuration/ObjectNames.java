package org.sequoiaspindle.core.coordination.configuration;

import java.util.regex.Pattern;

/** Form of names, and texts that are safe to show to people. */
public final class ObjectNames {

    /** What a name must look like, for messages. */
    public static final String RULE = "1 to 64 characters out of A-Z a-z 0-9 . _ -";

    private static final int MAX_QUOTED_CHARACTERS = 64;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private ObjectNames() {}

    public static boolean isWellFormed(String name) {
        return NAME.matcher(name).matches();
    }

    /** Name of an object if it is usable, else its position among those of its kind, from 1. */
    public static String labelOf(String name, int position) {
        return isWellFormed(name) ? name : "#" + position;
    }

    /** Text from a document in quotes, shortened and printable. */
    public static String quoted(String text) {
        String shown =
                text.length() <= MAX_QUOTED_CHARACTERS
                        ? text
                        : text.substring(0, MAX_QUOTED_CHARACTERS) + "...";
        return '"' + printable(shown) + '"';
    }

    /**
     * The text with control and format characters replaced, which could otherwise change the state
     * of an operator's terminal.
     */
    public static String printable(String text) {
        StringBuilder safe = new StringBuilder();
        text.codePoints()
                .map(c -> Character.isISOControl(c) || isFormat(c) ? '?' : c)
                .forEach(safe::appendCodePoint);
        return safe.toString();
    }

    private static boolean isFormat(int codePoint) {
        int type = Character.getType(codePoint);
        return type == Character.FORMAT || type == Character.SURROGATE;
    }
}
