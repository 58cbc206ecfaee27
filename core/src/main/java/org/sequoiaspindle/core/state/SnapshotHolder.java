package org.sequoiaspindle.core.state;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the snapshot that this instance uses. Readers take no locks. A new snapshot is adopted only
 * if its generation is higher, so that a stale read never reverts the configuration.
 */
public final class SnapshotHolder {

    private final AtomicReference<Snapshot> current = new AtomicReference<>(Snapshot.none());

    public Snapshot current() {
        return current.get();
    }

    /**
     * Adopts the snapshot if its generation is higher than the generation of the current snapshot.
     *
     * @return whether the snapshot was adopted
     */
    public boolean adopt(Snapshot candidate) {
        Snapshot previousSnapshot =
                current.getAndUpdate(
                        currentSnapshot ->
                                candidate.generation() > currentSnapshot.generation()
                                        ? candidate
                                        : currentSnapshot);
        return candidate.generation() > previousSnapshot.generation();
    }
}
