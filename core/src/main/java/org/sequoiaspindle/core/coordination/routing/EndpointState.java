package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * What this instance knows of one endpoint.
 *
 * @param endpoint its object
 * @param leaving whether it must receive no new work
 * @param running calls that it runs for this instance, oldest first
 * @param fairLimit calls that this instance would have on it at once if each instance had its share
 * @param limit calls that this instance may have on it at once, as learned
 * @param slowness average of actual by predicted service time; 1 is as predicted
 * @param failures calls without a good answer since the last good one
 * @param health whether it takes calls
 * @param load its last load report
 * @param loadAt time of that report in milliseconds
 */
public record EndpointState(
        Endpoint endpoint,
        boolean leaving,
        TreeMap<Long, RunningCall> running,
        double fairLimit,
        double limit,
        double slowness,
        int failures,
        Health health,
        Option<EndpointLoad> load,
        long loadAt) {

    /**
     * Whether an endpoint takes calls.
     *
     * @param ejectedUntil time until which it takes none, in milliseconds; 0 if not ejected
     * @param ejections ejections in a row, by which the next one is longer
     */
    public record Health(long ejectedUntil, int ejections) {

        static final Health GOOD = new Health(0, 0);

        /** Whether the endpoint has been ejected and has not yet proved itself again. */
        public boolean isEjected() {
            return ejections > 0;
        }
    }

    /** An endpoint of which nothing is known yet. */
    public static EndpointState initial(Endpoint endpoint, boolean leaving, double limit) {
        return new EndpointState(
                endpoint,
                leaving,
                TreeMap.empty(),
                limit,
                limit,
                1,
                0,
                Health.GOOD,
                Option.none(),
                0);
    }

    public String name() {
        return endpoint.name();
    }

    public int inFlight() {
        return running.size();
    }

    /** Calls of a size class in flight. */
    public int inFlight(SizeClass sizeClass) {
        return running.values().count(call -> call.sizeClass() == sizeClass);
    }

    /** Age of the oldest call as a multiple of its predicted service time, 0 if there is none. */
    public double oldestAgeRatio(long now) {
        return running.isEmpty() ? 0 : running.head()._2.ageRatio(now);
    }

    EndpointState start(RunningCall call) {
        return withRunning(running.put(call.ticket(), call));
    }

    EndpointState end(long ticket) {
        return withRunning(running.remove(ticket));
    }

    private EndpointState withRunning(TreeMap<Long, RunningCall> calls) {
        return new EndpointState(
                endpoint, leaving, calls, fairLimit, limit, slowness, failures, health, load,
                loadAt);
    }

    /** The endpoint as configured anew; the learned limit moves with the fair one. */
    public EndpointState reconfigured(Endpoint object, boolean isLeaving, double newFairLimit) {
        double scaled = limit * newFairLimit / fairLimit;
        return new EndpointState(
                object,
                isLeaving,
                running,
                newFairLimit,
                Math.min(object.slots(), scaled),
                slowness,
                failures,
                health,
                load,
                loadAt);
    }

    public EndpointState withLimit(double newLimit) {
        return new EndpointState(
                endpoint, leaving, running, fairLimit, newLimit, slowness, failures, health, load,
                loadAt);
    }

    public EndpointState withSlowness(double ratio) {
        return new EndpointState(
                endpoint, leaving, running, fairLimit, limit, ratio, failures, health, load,
                loadAt);
    }

    public EndpointState withHealth(int failuresInRow, Health newHealth) {
        return new EndpointState(
                endpoint,
                leaving,
                running,
                fairLimit,
                limit,
                slowness,
                failuresInRow,
                newHealth,
                load,
                loadAt);
    }

    public EndpointState withLoad(EndpointLoad report, long now) {
        return new EndpointState(
                endpoint,
                leaving || report.leaving(),
                running,
                fairLimit,
                limit,
                slowness,
                failures,
                health,
                Option.some(report),
                now);
    }
}
