package org.sequoiaspindle.core.coordination.membership;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Holds the membership table and the leaving endpoints of this instance. Readers take no locks. */
public final class Membership {

    private final AtomicReference<MembershipTable> table;
    private final AtomicReference<LeavingEndpoints> leaving =
            new AtomicReference<>(LeavingEndpoints.none());

    public Membership(MembershipTable initial) {
        table = new AtomicReference<>(initial);
    }

    public MembershipTable table() {
        return table.get();
    }

    public LeavingEndpoints leaving() {
        return leaving.get();
    }

    /** Replaces the table; the change must be pure, because it is repeated under contention. */
    public MembershipTable update(UnaryOperator<MembershipTable> change) {
        return table.updateAndGet(change);
    }

    /** Replaces the leaving endpoints; the change must be pure. */
    public LeavingEndpoints updateLeaving(UnaryOperator<LeavingEndpoints> change) {
        return leaving.updateAndGet(change);
    }
}
