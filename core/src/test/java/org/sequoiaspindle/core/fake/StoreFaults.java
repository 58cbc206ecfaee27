package org.sequoiaspindle.core.fake;

/**
 * Probabilities of the faults of the fake store for one call.
 *
 * @param drop the call is lost before it takes effect
 * @param loseResponse the call takes effect, but its response is lost
 * @param duplicate the call is delivered twice
 * @param slow the call is delivered only after the timeout of the caller
 * @param stale a read or watch returns an older state of the key
 */
public record StoreFaults(
        double drop, double loseResponse, double duplicate, double slow, double stale) {
    public static final StoreFaults NONE = new StoreFaults(0, 0, 0, 0, 0);
    public static final StoreFaults MANY = new StoreFaults(0.1, 0.15, 0.1, 0.1, 0.2);
}
