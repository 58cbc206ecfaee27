package org.sequoiaspindle.core.state;

/** Predicted size of a call, by which long work is kept from blocking short work. */
public enum SizeClass {
    SHORT,
    LONG
}
