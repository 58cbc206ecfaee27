package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;

/**
 * Result of a state transition of a group: the next state and the decisions on calls that were
 * made.
 *
 * @param state next state
 * @param decisions decisions in the order in which they were made
 */
public record TransitionResult(GroupState state, Vector<CallDecision> decisions) {

    /** Returns a result without decisions. */
    public static TransitionResult of(GroupState state) {
        return new TransitionResult(state, Vector.empty());
    }

    /** Returns this result with the next state and one more decision. */
    public TransitionResult withDecision(GroupState next, long callId, RoutingDecision decision) {
        return new TransitionResult(next, decisions.append(new CallDecision(callId, decision)));
    }
}
