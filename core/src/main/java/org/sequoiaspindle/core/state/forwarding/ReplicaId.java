package org.sequoiaspindle.core.state.forwarding;

/**
 * Identifies a replica process. A replica that restarts under the same name gets a new identifier.
 *
 * @param name registered name of the replica
 * @param startedAtMillis start time of the process in Unix milliseconds, 0 if unknown
 */
public record ReplicaId(String name, long startedAtMillis) {

    @Override
    public String toString() {
        return startedAtMillis == 0 ? name : name + "@" + startedAtMillis;
    }
}
