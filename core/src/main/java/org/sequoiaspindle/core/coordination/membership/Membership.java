package org.sequoiaspindle.core.coordination.membership;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * Holds the current membership table and leaving endpoints of this instance. Thread-safe; readers
 * take no locks.
 */
public final class Membership {

    private final AtomicReference<MembershipTable> table;
    private final AtomicReference<LeavingEndpoints> leavingEndpoints =
            new AtomicReference<>(LeavingEndpoints.none());

    public Membership(MembershipTable initial) {
        table = new AtomicReference<>(initial);
    }

    public MembershipTable table() {
        return table.get();
    }

    public LeavingEndpoints leavingEndpoints() {
        return leavingEndpoints.get();
    }

    /**
     * Replaces the table. The change must be free of side effects, because it is applied again
     * under contention.
     */
    public MembershipTable update(UnaryOperator<MembershipTable> change) {
        return table.updateAndGet(change);
    }

    /** Replaces the leaving endpoints. The change must be free of side effects. */
    public LeavingEndpoints updateLeaving(UnaryOperator<LeavingEndpoints> change) {
        return leavingEndpoints.updateAndGet(change);
    }
}
