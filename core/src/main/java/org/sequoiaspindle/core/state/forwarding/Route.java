package org.sequoiaspindle.core.state.forwarding;

import java.util.List;

/**
 * Rule that selects a service by host and path.
 *
 * @param prefix begins every path of the route; starts and ends with a slash
 * @param timeoutMillis longest time for which a client is kept waiting
 * @param objectiveMillis time within which an answer earns its full credit; of a stream, its first
 *     event
 * @param priority rank, 0 is the most urgent
 * @param targets services with their weights, at least one
 * @param maxAttempts largest number of replicas to which one attempt of a client may be sent
 * @param stages work that precedes a request, by number
 * @param publicAccess whether requests need no key
 * @param sticky whether requests name the parts of their prompt
 * @param resumable whether a broken stream may go on at another replica
 * @param eventGapTargetMillis longest pause between events for an answer on time, 0 if there is
 *     none
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

    /** Whether a request may run again after one of its runs may have begun. */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }
}
