package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.Snapshot;

/** The schedulers of all endpoint groups of this data centre. Thread-safe. */
public final class Groups {

    /**
     * Shares add up to a little more than the slots, because arrivals at instances are uneven; the
     * endpoints' own queues take the excess.
     */
    private static final double OVERCOMMIT = 1.25;

    private final String dataCentre;
    private final Policy policy;
    private final MillisClock clock;
    private final Timer timer;
    private final ConcurrentHashMap<String, GroupScheduler> schedulers = new ConcurrentHashMap<>();

    public Groups(String dataCentre, Policy policy, MillisClock clock, Timer timer) {
        this.dataCentre = dataCentre;
        this.policy = policy;
        this.clock = clock;
        this.timer = timer;
    }

    /** Scheduler of a group; one without endpoints if the group is unknown. */
    public GroupScheduler group(String name) {
        return schedulers.computeIfAbsent(name, any -> new GroupScheduler(policy, clock, timer));
    }

    /** Names of the groups that have been configured or asked for. */
    public Vector<String> names() {
        return Vector.ofAll(schedulers.keySet()).sorted();
    }

    /**
     * Takes over a new configuration or membership.
     *
     * @param leavingAddresses addresses of endpoints that must receive no new work
     * @param share share of each endpoint's slots that this instance has, above 0 to 1
     */
    public void reconfigure(Snapshot snapshot, Set<String> leavingAddresses, double share) {
        for (var group : snapshot.objects().endpointGroups()) {
            Vector<OpenEndpoint> endpoints =
                    snapshot.endpoints(group.name(), dataCentre)
                            .map(endpoint -> open(endpoint, leavingAddresses, share));
            group(group.name()).reconfigure(endpoints);
        }
        for (String name : names()) {
            if (snapshot.endpointGroup(name).isEmpty()) {
                group(name).reconfigure(Vector.empty());
            }
        }
    }

    /** Re-examines waiting tickets of all groups; to be called a few times a second. */
    public void advance() {
        schedulers.values().forEach(GroupScheduler::advance);
    }

    private static OpenEndpoint open(Endpoint endpoint, Set<String> leaving, double share) {
        return new OpenEndpoint(
                endpoint,
                endpoint.leaving() || leaving.contains(endpoint.address()),
                Math.min(endpoint.slots(), endpoint.slots() * share * OVERCOMMIT));
    }
}
