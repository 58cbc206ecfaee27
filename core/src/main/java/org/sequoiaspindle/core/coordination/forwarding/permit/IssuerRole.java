package org.sequoiaspindle.core.coordination.forwarding.permit;

import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Role of this instance as the issuer of permits for one replica.
 *
 * @param claim unique name of the write that created the role's key
 * @param lease lease under which the key was created
 * @param version version of the key, {@link #UNCONFIRMED} until the store has confirmed it
 * @param nextIssueAt monotonic time of the next permit
 */
public record IssuerRole(
        Replica replica, String claim, long lease, long version, long nextIssueAt) {

    /** Version of a key whose creation is not confirmed. */
    public static final long UNCONFIRMED = 0;

    /** Returns a role that has been claimed, without the right to issue. */
    public static IssuerRole claimed(Replica replica, String claim, long lease) {
        return new IssuerRole(replica, claim, lease, UNCONFIRMED, Long.MAX_VALUE);
    }

    /**
     * Returns the role after the store has confirmed it. The permits of the previous issuer may be
     * used for one lifetime, so the first permit has to wait for that.
     */
    public IssuerRole confirmed(long newVersion, long spacingMillis, long now) {
        return isConfirmed()
                ? this
                : new IssuerRole(
                        replica,
                        claim,
                        lease,
                        newVersion,
                        now + Math.max(SendPermit.LIFETIME_MS, spacingMillis));
    }

    public boolean isConfirmed() {
        return version != UNCONFIRMED;
    }

    /** Returns whether a permit may be issued now, given the current lease of the instance. */
    public boolean mayIssue(LeaseHold hold, ClockReading now) {
        return isConfirmed()
                && hold.lease() == lease
                && hold.isCertain(now)
                && now.monotonicMillis() >= nextIssueAt;
    }

    /** Returns the role with no permit before the given time. */
    public IssuerRole postponed(long until) {
        return new IssuerRole(replica, claim, lease, version, Math.max(nextIssueAt, until));
    }

    /** Returns the role after a permit was issued. */
    public IssuerRole afterIssue(long spacingMillis, long now) {
        return new IssuerRole(replica, claim, lease, version, now + spacingMillis);
    }
}
