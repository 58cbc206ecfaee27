package org.sequoiaspindle.standins.coordination;

/** Computes the answers of the endpoint stand-ins as pure functions of the input. */
public final class ExpectedAnswers {

    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    // Tokens are numbers of up to four digits in base 36.
    private static final long DISTINCT_TOKENS = 36 * 36 * 36 * 36;

    private ExpectedAnswers() {}

    /**
     * Returns the 64-bit FNV-1a digest of the characters of an input. Compute the digest only once
     * per call: an input may have a million characters.
     */
    public static long digest(String input) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < input.length(); i++) {
            hash = (hash ^ input.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Returns the text of the token at a position of the answer, given the digest of the input. */
    public static String token(long digest, long position) {
        long word = Math.floorMod(SeededRandom.hash(digest, position), DISTINCT_TOKENS);
        return (position == 0 ? "" : " ") + Long.toString(word, Character.MAX_RADIX);
    }

    /** Returns the answer to an input: the concatenated texts of all tokens. */
    public static String answer(String input, long maxTokens) {
        long digest = digest(input);
        StringBuilder answer = new StringBuilder();
        for (long position = 0; position < maxTokens; position++) {
            answer.append(token(digest, position));
        }
        return answer.toString();
    }

    /** Returns the output of a stage that does not stream. */
    public static String output(String stage, String input) {
        return stage + ":" + Long.toHexString(SeededRandom.hash(digest(stage), digest(input)));
    }
}
