package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;

/**
 * Result of a transition of a group: the next state and the tickets that it decided.
 *
 * @param state next state
 * @param grants decisions in order
 */
public record Step(GroupState state, Vector<Grant> grants) {

    /** A transition that decided no ticket. */
    public static Step of(GroupState state) {
        return new Step(state, Vector.empty());
    }

    /** Adds a decision. */
    public Step grant(GroupState next, long ticket, Placement placement) {
        return new Step(next, grants.append(new Grant(ticket, placement)));
    }
}
