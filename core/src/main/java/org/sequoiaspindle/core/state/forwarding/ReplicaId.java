package org.sequoiaspindle.core.state.forwarding;

/**
 * One life of an endpoint. A replica that starts again under its former name is another one.
 *
 * @param name identifier that the replica has registered
 * @param startedAtMillis start of its process in Unix milliseconds, 0 if it does not say
 */
public record ReplicaId(String name, long startedAtMillis) {

    @Override
    public String toString() {
        return startedAtMillis == 0 ? name : name + "@" + startedAtMillis;
    }
}
