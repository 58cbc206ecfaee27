package org.sequoiaspindle.core.coordination.forwarding.replica;

import org.sequoiaspindle.core.state.forwarding.Replica;

/** States the terms on which requests may be sent to a replica. */
@FunctionalInterface
public interface SendRule {

    /** Rule of a deployment that restricts nothing. */
    SendRule UNRESTRICTED = (replica, now) -> SendTerms.UNRESTRICTED;

    SendTerms termsFor(Replica replica, long now);

    /** Returns the rule under which the terms of both apply. */
    default SendRule and(SendRule other) {
        if (this == UNRESTRICTED) {
            return other;
        }
        if (other == UNRESTRICTED) {
            return this;
        }
        return (replica, now) -> termsFor(replica, now).and(other.termsFor(replica, now));
    }
}
