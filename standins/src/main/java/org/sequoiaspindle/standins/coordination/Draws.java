package org.sequoiaspindle.standins.coordination;

import java.util.Random;

/** Random numbers that depend only on a seed and a position, whichever thread asks first. */
public final class Draws {

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private Draws() {}

    /** A number from [0, 1). */
    public static double uniform(long seed, long position) {
        return (mix(seed, position) >>> 11) * 0x1.0p-53;
    }

    /** A number with mean 0 and standard deviation 1. */
    public static double gaussian(long seed, long position) {
        return new Random(mix(seed, position)).nextGaussian();
    }

    /** The SplitMix64 output function on a state derived from both arguments. */
    public static long mix(long seed, long position) {
        long mixed = seed + (position + 1) * GOLDEN_GAMMA;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
