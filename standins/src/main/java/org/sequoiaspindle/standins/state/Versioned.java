package org.sequoiaspindle.standins.state;

/**
 * A stored value with its version.
 *
 * @param lease lease that the key is attached to, 0 for none
 */
public record Versioned(Content value, long version, long lease) {}
