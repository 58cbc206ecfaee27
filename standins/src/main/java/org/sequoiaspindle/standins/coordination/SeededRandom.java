package org.sequoiaspindle.standins.coordination;

import java.util.Random;

/**
 * Pseudo-random numbers that are a function of a seed and a position, so that the numbers do not
 * depend on the order in which threads request them.
 */
public final class SeededRandom {

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private SeededRandom() {}

    /** Returns a number from [0, 1). */
    public static double uniform(long seed, long position) {
        return (hash(seed, position) >>> 11) * 0x1.0p-53;
    }

    /** Returns a number with mean 0 and standard deviation 1. */
    public static double gaussian(long seed, long position) {
        return new Random(hash(seed, position)).nextGaussian();
    }

    /** Returns the output of SplitMix64 for a state derived from both arguments. */
    public static long hash(long seed, long position) {
        long bits = seed + (position + 1) * GOLDEN_GAMMA;
        bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
        bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
        return bits ^ (bits >>> 31);
    }
}
