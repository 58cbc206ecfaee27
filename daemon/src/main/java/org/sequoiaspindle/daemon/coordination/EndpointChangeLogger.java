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
 * Logs endpoints that were ejected, restored or flagged as leaving since the previous comparison.
 * Comparing the states periodically keeps logging off the request path.
 */
public final class EndpointChangeLogger {

    private final GroupSchedulers groups;
    private final Supplier<Set<String>> leavingAddresses;
    private final EventLog events;
    private final AtomicReference<Set<String>> lastEjectedNames =
            new AtomicReference<>(HashSet.empty());
    private final AtomicReference<Set<String>> lastLeavingAddresses =
            new AtomicReference<>(HashSet.empty());

    public EndpointChangeLogger(
            GroupSchedulers groups, Supplier<Set<String>> leavingAddresses, EventLog events) {
        this.groups = groups;
        this.leavingAddresses = leavingAddresses;
        this.events = events;
    }

    /**
     * Compares the states of the endpoints with the states at the previous comparison and logs the
     * differences. Must run on one thread at a time, about once a second.
     */
    public void logChanges() {
        Set<String> ejectedNames =
                groups.names()
                        .flatMap(name -> groups.scheduler(name).state().endpoints().values())
                        .filter(endpoint -> endpoint.health().isEjected())
                        .map(EndpointState::name)
                        .toSet();
        Set<String> previousEjectedNames = lastEjectedNames.getAndSet(ejectedNames);
        ejectedNames
                .diff(previousEjectedNames)
                .forEach(name -> log(LogEvent.ENDPOINT_EJECTED, name));
        previousEjectedNames
                .diff(ejectedNames)
                .forEach(name -> log(LogEvent.ENDPOINT_RESTORED, name));
        Set<String> currentLeavingAddresses = leavingAddresses.get();
        Set<String> previousLeavingAddresses =
                lastLeavingAddresses.getAndSet(currentLeavingAddresses);
        currentLeavingAddresses
                .diff(previousLeavingAddresses)
                .forEach(address -> log(LogEvent.ENDPOINT_LEAVING, address));
    }

    private void log(LogEvent event, String endpoint) {
        events.record(event, HashMap.of("endpoint", endpoint));
    }
}
