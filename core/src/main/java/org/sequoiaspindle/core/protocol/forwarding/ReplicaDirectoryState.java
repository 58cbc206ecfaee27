package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.HashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaDirectory;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/** The current directory of replicas and its table. Thread-safe. */
final class ReplicaDirectoryState {

    private record Snapshot(ReplicaDirectory directory, ReplicaTable table) {}

    private final EventLog events;
    private final AtomicReference<Snapshot> snapshot =
            new AtomicReference<>(new Snapshot(ReplicaDirectory.EMPTY, ReplicaTable.EMPTY));

    ReplicaDirectoryState(EventLog events) {
        this.events = events;
    }

    ReplicaTable table() {
        return snapshot.get().table();
    }

    /** Replaces the directory, and logs the replicas that were added or left. */
    void update(UnaryOperator<ReplicaDirectory> change) {
        Snapshot before =
                snapshot.getAndUpdate(
                        current -> {
                            ReplicaDirectory next = change.apply(current.directory());
                            return next == current.directory()
                                    ? current
                                    : new Snapshot(next, next.table());
                        });
        logChanges(before.table(), snapshot.get().table());
    }

    private void logChanges(ReplicaTable before, ReplicaTable after) {
        if (before == after) {
            return;
        }
        for (Replica replica : after.all()) {
            if (!before.contains(replica.id())) {
                record(LogEvent.ENDPOINT_ADDED, replica);
            }
        }
        for (Replica replica : before.all()) {
            if (!after.contains(replica.id())) {
                record(LogEvent.ENDPOINT_LEAVING, replica);
            }
        }
    }

    private void record(LogEvent event, Replica replica) {
        events.record(
                event,
                HashMap.of(
                        "endpoint",
                        replica.address().toString(),
                        "id",
                        replica.id().toString(),
                        "service",
                        replica.service()));
    }
}
