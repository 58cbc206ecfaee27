package org.sequoiaspindle.core.state;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The snapshot in force on this instance. Readers see one immutable value without locks; a
 * replacement is adopted only if its generation is higher, so that a stale read never takes the
 * instance back.
 */
public final class SnapshotHolder {

    private final AtomicReference<Snapshot> current = new AtomicReference<>(Snapshot.none());

    public Snapshot current() {
        return current.get();
    }

    /** Adopts a newer snapshot; returns false and changes nothing if it is not newer. */
    public boolean adopt(Snapshot candidate) {
        Snapshot before =
                current.getAndUpdate(
                        held -> candidate.generation() > held.generation() ? candidate : held);
        return candidate.generation() > before.generation();
    }
}
