package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;

/**
 * Generations in force on all instances, as known to one of them.
 *
 * @param instance instance that sent the report
 * @param generation generation in force on that instance
 * @param instances all instances known to it, including itself
 */
public record StatusReport(String instance, long generation, Vector<ReportedInstance> instances) {

    /** Status of one instance; {@code lastHeardMillis} is the age of its last heartbeat. */
    public record ReportedInstance(
            String instance,
            String dataCentre,
            String address,
            long generation,
            String serving,
            long lastHeardMillis) {}
}
