package org.sequoiaspindle.standins.state;

/**
 * A stored value with the version of the value.
 *
 * @param lease id of the lease that the key is attached to, 0 for no lease
 */
public record VersionedValue(ImmutableBytes value, long version, long lease) {}
