package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.HashMap;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.state.forwarding.ColdEndpoints;
import org.sequoiaspindle.core.state.forwarding.ColdSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/** Holds which replicas are cold, by their registrations and answers. Thread-safe. */
public final class ColdEndpointTracker {

    private final Function<String, Optional<ColdSpec>> specs;
    private final MillisClock clock;
    private final EventLog events;
    private final AtomicReference<ColdEndpoints> endpoints =
            new AtomicReference<>(ColdEndpoints.EMPTY);

    /**
     * Creates a tracker.
     *
     * @param specs returns what the replicas of a service tolerate, empty if they are never cold
     */
    public ColdEndpointTracker(
            Function<String, Optional<ColdSpec>> specs, MillisClock clock, EventLog events) {
        this.specs = specs;
        this.clock = clock;
        this.events = events;
    }

    /** Records a registration that was just read. */
    public void registrationRead(Replica replica, long revision) {
        long now = clock.now();
        ColdEndpoints before =
                endpoints.getAndUpdate(current -> current.withRegistration(replica, revision, now));
        if (replica.coldMillis() > 0 && before != endpoints.get()) {
            logCold(replica.id(), replica.coldMillis());
        }
    }

    /** Records that a replica stated in an answer for how long it stays cold. */
    public void coldStated(ReplicaId replica, long coldMillis) {
        long now = clock.now();
        ColdEndpoints before =
                endpoints.getAndUpdate(current -> current.withStatement(replica, coldMillis, now));
        if (before != endpoints.get()) {
            logCold(replica, coldMillis);
        }
    }

    /** Records that an evacuated data centre was restored. */
    public void dataCentreRestored(String dataCentre) {
        long now = clock.now();
        endpoints.updateAndGet(current -> current.withRestored(dataCentre, now));
    }

    /** Removes the replicas that have long not been registered. */
    public void retainOnly(ReplicaTable table) {
        long now = clock.now();
        endpoints.updateAndGet(current -> current.retaining(table, now));
    }

    /** Returns the time until which a replica counts as cold. */
    public long coldUntil(Replica replica) {
        return specs.apply(replica.service())
                .map(spec -> endpoints.get().coldUntil(replica, spec))
                .orElse(Long.MIN_VALUE);
    }

    /** Returns the number of replicas that are cold now. */
    public long count(ReplicaTable table) {
        return table.all().stream().filter(this::isCold).count();
    }

    public boolean isCold(Replica replica) {
        return clock.now() < coldUntil(replica);
    }

    private void logCold(ReplicaId replica, long millis) {
        events.record(
                LogEvent.ENDPOINT_COLD,
                HashMap.of("endpoint", replica.toString(), "coldMs", millis));
    }
}
