package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * The state of one endpoint as seen by this instance.
 *
 * @param endpoint configuration of the endpoint
 * @param leaving whether the endpoint is leaving and must receive no new calls
 * @param running calls in flight from this instance by call identifier, oldest first
 * @param fairLimit concurrency limit given by this instance's share of the slots
 * @param limit current concurrency limit for calls from this instance, adapted to the load of the
 *     endpoint
 * @param slowness moving average of actual divided by predicted service time; 1 means as predicted
 * @param consecutiveFailures consecutive failed calls
 * @param health ejection state
 * @param load last load report of the endpoint
 * @param loadReportedAt time at which the last load report arrived, in milliseconds
 */
public record EndpointState(
        Endpoint endpoint,
        boolean leaving,
        TreeMap<Long, RunningCall> running,
        double fairLimit,
        double limit,
        double slowness,
        int consecutiveFailures,
        Health health,
        Option<EndpointLoad> load,
        long loadReportedAt) {

    /**
     * Ejection state of an endpoint.
     *
     * @param ejectedUntil end of the current ejection, in milliseconds; 0 if the endpoint is not
     *     ejected
     * @param consecutiveEjections consecutive ejections; each one doubles the duration of the next,
     *     up to a maximum
     */
    public record Health(long ejectedUntil, int consecutiveEjections) {

        static final Health NOT_EJECTED = new Health(0, 0);

        /**
         * Returns whether the endpoint was ejected and no call has succeeded in time since then.
         */
        public boolean isEjected() {
            return consecutiveEjections > 0;
        }
    }

    /** Returns the state of an endpoint that has not been called yet. */
    public static EndpointState initial(Endpoint endpoint, boolean leaving, double limit) {
        return new EndpointState(
                endpoint,
                leaving,
                TreeMap.empty(),
                limit,
                limit,
                1,
                0,
                Health.NOT_EJECTED,
                Option.none(),
                0);
    }

    public String name() {
        return endpoint.name();
    }

    public int inFlight() {
        return running.size();
    }

    /** Returns the number of calls of a size class in flight. */
    public int inFlight(SizeClass sizeClass) {
        return running.values().count(call -> call.sizeClass() == sizeClass);
    }

    /**
     * Returns the age of the oldest call as a multiple of its predicted service time, or 0 if no
     * call is in flight.
     */
    public double oldestAgeRatio(long now) {
        return running.isEmpty() ? 0 : running.head()._2.ageRatio(now);
    }

    EndpointState start(RunningCall call) {
        return withRunning(running.put(call.callId(), call));
    }

    EndpointState end(long callId) {
        return withRunning(running.remove(callId));
    }

    private EndpointState withRunning(TreeMap<Long, RunningCall> calls) {
        return new EndpointState(
                endpoint,
                leaving,
                calls,
                fairLimit,
                limit,
                slowness,
                consecutiveFailures,
                health,
                load,
                loadReportedAt);
    }

    /**
     * Returns the state with a new configuration. The adapted limit is scaled with the fair limit.
     */
    public EndpointState withConfiguration(
            Endpoint newEndpoint, boolean newLeaving, double newFairLimit) {
        double scaledLimit = limit * newFairLimit / fairLimit;
        return new EndpointState(
                newEndpoint,
                newLeaving,
                running,
                newFairLimit,
                Math.min(newEndpoint.slots(), scaledLimit),
                slowness,
                consecutiveFailures,
                health,
                load,
                loadReportedAt);
    }

    public EndpointState withLimit(double newLimit) {
        return new EndpointState(
                endpoint,
                leaving,
                running,
                fairLimit,
                newLimit,
                slowness,
                consecutiveFailures,
                health,
                load,
                loadReportedAt);
    }

    public EndpointState withSlowness(double newSlowness) {
        return new EndpointState(
                endpoint,
                leaving,
                running,
                fairLimit,
                limit,
                newSlowness,
                consecutiveFailures,
                health,
                load,
                loadReportedAt);
    }

    public EndpointState withHealth(int consecutiveFailures, Health newHealth) {
        return new EndpointState(
                endpoint,
                leaving,
                running,
                fairLimit,
                limit,
                slowness,
                consecutiveFailures,
                newHealth,
                load,
                loadReportedAt);
    }

    public EndpointState withLoad(EndpointLoad report, long now) {
        return new EndpointState(
                endpoint,
                leaving || report.leaving(),
                running,
                fairLimit,
                limit,
                slowness,
                consecutiveFailures,
                health,
                Option.some(report),
                now);
    }
}
