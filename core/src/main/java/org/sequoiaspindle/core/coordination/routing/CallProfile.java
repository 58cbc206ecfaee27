package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Set;
import org.sequoiaspindle.core.state.Deadline;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * What the routing decisions need to know of a call.
 *
 * @param organisation organisation on whose behalf it runs
 * @param weight share of the organisation under contention
 * @param stage stage that it runs
 * @param idempotent whether it may be repeated
 * @param sizeClass predicted size class
 * @param size predicted size in tokens, at least 1
 * @param configuredMs service time of the stage as configured, in milliseconds
 * @param laterMs time that the later stages of the request need, in milliseconds
 * @param laterWaitMs part of {@code laterMs} that is predicted waiting, in milliseconds
 * @param deadline deadline of the request
 * @param affinity hash of the prompt prefix; equal prefixes prefer equal endpoints
 * @param avoid endpoints that this stage of the request has tried already
 */
public record CallProfile(
        String organisation,
        int weight,
        String stage,
        boolean idempotent,
        SizeClass sizeClass,
        long size,
        long configuredMs,
        long laterMs,
        long laterWaitMs,
        Deadline deadline,
        long affinity,
        Set<String> avoid) {

    /** The same call after an attempt on an endpoint. */
    public CallProfile avoiding(String endpoint) {
        return new CallProfile(
                organisation,
                weight,
                stage,
                idempotent,
                sizeClass,
                size,
                configuredMs,
                laterMs,
                laterWaitMs,
                deadline,
                affinity,
                avoid.add(endpoint));
    }
}
