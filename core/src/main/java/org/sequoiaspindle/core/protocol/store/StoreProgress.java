package org.sequoiaspindle.core.protocol.store;

import io.vavr.collection.Vector;

/**
 * What earlier results of the store have shown, by which a late copy of an earlier response is
 * recognised: the revision of the store never decreases, and no lease is created twice. Immutable.
 *
 * @param revision highest revision of the store in a result
 * @param leases latest leases that were created
 */
public record StoreProgress(long revision, Vector<Long> leases) {

    /** Leases to keep; an instance creates one at its start and one for each crash of a replica. */
    static final int MAX_LEASES = 64;

    public static final StoreProgress NONE = new StoreProgress(0, Vector.empty());

    /**
     * Returns whether the result can be that of a command.
     *
     * @param revisionBefore revision of the progress when the command was sent
     */
    public boolean allows(StoreCommand command, StoreResult result, long revisionBefore) {
        if (result instanceof StoreResult.Listed listed) {
            return mayBeStale(command) || listed.revision() >= revisionBefore;
        }
        if (result instanceof StoreResult.Swapped swapped) {
            // A deletion of keys that do not exist changes nothing.
            return swapped.version() > revisionBefore
                    || command instanceof StoreCommand.DeleteAll
                            && swapped.version() == revisionBefore;
        }
        if (result instanceof StoreResult.Changed changed
                && command instanceof StoreCommand.AwaitChanges watch) {
            return changed.revision() >= watch.afterRevision();
        }
        return !(result instanceof StoreResult.LeaseCreated created)
                || !leases.contains(created.lease());
    }

    /** Returns the progress after a result that it allows. */
    public StoreProgress after(StoreResult result) {
        if (result instanceof StoreResult.LeaseCreated created) {
            return new StoreProgress(
                    revision, leases.append(created.lease()).takeRight(MAX_LEASES));
        }
        long shownRevision = shownRevision(result);
        return shownRevision > revision ? new StoreProgress(shownRevision, leases) : this;
    }

    /**
     * Returns the progress after a result that it does not allow. The next result is believed, so
     * that a store which was set back is used again.
     */
    public StoreProgress afterRejected(StoreResult result) {
        return result instanceof StoreResult.LeaseCreated
                ? this
                : new StoreProgress(Math.min(revision, shownRevision(result)), leases);
    }

    private static boolean mayBeStale(StoreCommand command) {
        return command instanceof StoreCommand.ListItems list && list.mayBeStale();
    }

    private static long shownRevision(StoreResult result) {
        if (result instanceof StoreResult.Listed listed) {
            return listed.revision();
        }
        if (result instanceof StoreResult.Changed changed) {
            return changed.revision();
        }
        return result instanceof StoreResult.Swapped swapped ? swapped.version() : 0;
    }
}
