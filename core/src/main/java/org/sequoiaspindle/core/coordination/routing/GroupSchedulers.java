package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.Snapshot;

/** The schedulers of all endpoint groups on this instance. Thread-safe. */
public final class GroupSchedulers {

    /**
     * Factor by which the shares of all instances together exceed the slots of an endpoint, because
     * calls arrive unevenly at the instances. The endpoint queues the excess calls.
     */
    private static final double OVERCOMMIT = 1.25;

    private final String dataCentre;
    private final RoutingPolicy policy;
    private final MillisClock clock;
    private final Timer timer;
    private final ConcurrentHashMap<String, GroupScheduler> schedulers = new ConcurrentHashMap<>();

    public GroupSchedulers(
            String dataCentre, RoutingPolicy policy, MillisClock clock, Timer timer) {
        this.dataCentre = dataCentre;
        this.policy = policy;
        this.clock = clock;
        this.timer = timer;
    }

    /** Returns the scheduler of a group; for an unknown group the scheduler has no endpoints. */
    public GroupScheduler scheduler(String name) {
        return schedulers.computeIfAbsent(
                name, groupName -> new GroupScheduler(policy, clock, timer));
    }

    /** Returns the names of all groups that have been configured or looked up. */
    public Vector<String> names() {
        return Vector.ofAll(schedulers.keySet()).sorted();
    }

    /**
     * Applies a new configuration, membership or set of leaving endpoints.
     *
     * @param leavingAddresses addresses of endpoints that must receive no new calls
     * @param share share of each endpoint's slots that this instance may use; above 0, at most 1
     */
    public void reconfigure(Snapshot snapshot, Set<String> leavingAddresses, double share) {
        for (var group : snapshot.objects().endpointGroups()) {
            Vector<ConfiguredEndpoint> endpoints =
                    snapshot.endpoints(group.name(), dataCentre)
                            .map(
                                    endpoint ->
                                            toConfiguredEndpoint(
                                                    endpoint, leavingAddresses, share));
            scheduler(group.name()).reconfigure(endpoints);
        }
        for (String name : names()) {
            if (snapshot.endpointGroup(name).isEmpty()) {
                scheduler(name).reconfigure(Vector.empty());
            }
        }
    }

    /** Reconsiders the pending calls of all groups; must be called a few times per second. */
    public void advance() {
        schedulers.values().forEach(GroupScheduler::advance);
    }

    private static ConfiguredEndpoint toConfiguredEndpoint(
            Endpoint endpoint, Set<String> leavingAddresses, double share) {
        return new ConfiguredEndpoint(
                endpoint,
                endpoint.leaving() || leavingAddresses.contains(endpoint.address()),
                Math.min(endpoint.slots(), endpoint.slots() * share * OVERCOMMIT));
    }
}
