package org.sequoiaspindle.core.state.forwarding;

/**
 * What a replica of a service tolerates while it is cold, that is, for some time after its start.
 *
 * @param durationMillis time for which a replica is cold, in milliseconds
 * @param requestsPerSecond requests that a cold replica tolerates per second, from all callers
 */
public record ColdSpec(long durationMillis, double requestsPerSecond) {}
