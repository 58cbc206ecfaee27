package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Set;
import org.sequoiaspindle.core.state.Deadline;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Properties of a call on which routing decisions depend.
 *
 * @param organisation organisation on whose behalf the call runs
 * @param weight weight of the organisation's fair share when calls have to wait
 * @param stage pipeline stage that the call executes
 * @param idempotent whether the call may be repeated
 * @param sizeClass predicted size class
 * @param size predicted size in tokens, at least 1
 * @param configuredServiceMs service time of the stage as configured, in milliseconds
 * @param laterStagesMs predicted time of the later stages of the request, in milliseconds
 * @param laterStagesWaitMs queueing time contained in {@code laterStagesMs}, in milliseconds
 * @param deadline deadline of the request
 * @param prefixHash hash of the prompt prefix, for cache affinity: calls with equal prefixes prefer
 *     the same endpoint
 * @param triedEndpoints endpoints that this stage has already been attempted on
 */
public record CallProfile(
        String organisation,
        int weight,
        String stage,
        boolean idempotent,
        SizeClass sizeClass,
        long size,
        long configuredServiceMs,
        long laterStagesMs,
        long laterStagesWaitMs,
        Deadline deadline,
        long prefixHash,
        Set<String> triedEndpoints) {

    /** Returns the profile for the next attempt, with the endpoint added to the tried ones. */
    public CallProfile withTriedEndpoint(String endpoint) {
        return new CallProfile(
                organisation,
                weight,
                stage,
                idempotent,
                sizeClass,
                size,
                configuredServiceMs,
                laterStagesMs,
                laterStagesWaitMs,
                deadline,
                prefixHash,
                triedEndpoints.add(endpoint));
    }
}
