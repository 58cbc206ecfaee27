package org.sequoiaspindle.core.state;

/**
 * Predicted size of a call. Scheduling separates the classes so that long calls do not block short
 * ones.
 */
public enum SizeClass {
    SHORT,
    LONG
}
