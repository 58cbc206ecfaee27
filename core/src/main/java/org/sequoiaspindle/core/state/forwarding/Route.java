package org.sequoiaspindle.core.state.forwarding;

import java.util.List;

/**
 * Rule that selects a service by host and path.
 *
 * @param prefix prefix of the paths of the route; starts and ends with a slash
 * @param timeoutMillis maximum time until a client gets a response
 * @param objectiveMillis latency objective for the complete response, or for the first event of a
 *     stream
 * @param priority priority of the requests; 0 is the highest
 * @param targets services with their weights, at least one
 * @param maxAttempts maximum number of replicas to which one attempt of a client is sent
 * @param stages stages that precede a request, in the order of their numbers
 * @param publicAccess whether requests need no API key
 * @param sticky whether requests list their prompt parts, which determine replica affinity
 * @param resumable whether an interrupted stream may be resumed at another replica
 * @param eventGapTargetMillis objective for the pause between events of a stream, 0 for none
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<WeightedService> targets,
        int maxAttempts,
        List<StageSpec> stages,
        boolean publicAccess,
        boolean sticky,
        boolean resumable,
        long eventGapTargetMillis) {

    public Route {
        targets = List.copyOf(targets);
        stages = List.copyOf(stages);
    }

    /** Returns whether a request may be sent again after a replica may have executed it. */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }
}
