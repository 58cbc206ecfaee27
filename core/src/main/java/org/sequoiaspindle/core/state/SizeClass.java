package org.sequoiaspindle.core.state;

/**
 * Predicted size of a call. Scheduling separates the classes so that long calls do not block short
 * ones. Messages contain the ordinal, so the order must not change.
 */
public enum SizeClass {
    SHORT,
    LONG
}
