package org.sequoiaspindle.core.coordination.routing;

/**
 * The decision on one pending call.
 *
 * @param callId identifier of the call within the group
 * @param decision endpoint that the call is assigned to, or the cause of its refusal
 */
public record CallDecision(long callId, RoutingDecision decision) {}
