package org.sequoiaspindle.daemon.coordination;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.routing.EndpointState;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;

/**
 * Logs endpoints that were ejected, restored or flagged as leaving since the previous call.
 * Comparing states periodically keeps logging off the request path.
 */
public final class EndpointChangeLogger {

    private final GroupSchedulers groups;
    private final Supplier<Set<String>> leavingAddresses;
    private final EventLog events;
    private final AtomicReference<Set<String>> lastEjected = new AtomicReference<>(HashSet.empty());
    private final AtomicReference<Set<String>> lastLeaving = new AtomicReference<>(HashSet.empty());

    public EndpointChangeLogger(
            GroupSchedulers groups, Supplier<Set<String>> leavingAddresses, EventLog events) {
        this.groups = groups;
        this.leavingAddresses = leavingAddresses;
        this.events = events;
    }

    /**
     * Compares the endpoint states with those of the previous call and logs the differences. Called
     * about once a second, by one thread at a time.
     */
    public void logChanges() {
        Set<String> nowEjected =
                groups.names()
                        .flatMap(name -> groups.scheduler(name).state().endpoints().values())
                        .filter(endpoint -> endpoint.health().isEjected())
                        .map(EndpointState::name)
                        .toSet();
        Set<String> wasEjected = lastEjected.getAndSet(nowEjected);
        nowEjected.diff(wasEjected).forEach(name -> log(LogEvent.ENDPOINT_EJECTED, name));
        wasEjected.diff(nowEjected).forEach(name -> log(LogEvent.ENDPOINT_RESTORED, name));
        Set<String> nowLeaving = leavingAddresses.get();
        Set<String> wasLeaving = lastLeaving.getAndSet(nowLeaving);
        nowLeaving.diff(wasLeaving).forEach(address -> log(LogEvent.ENDPOINT_LEAVING, address));
    }

    private void log(LogEvent event, String endpoint) {
        events.record(event, HashMap.of("endpoint", endpoint));
    }
}
