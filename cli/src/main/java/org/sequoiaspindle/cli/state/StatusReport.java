package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;

/**
 * Active generations of all instances, as known to the instance that reports them.
 *
 * @param instance instance that sent the report
 * @param generation active generation of that instance
 * @param instances all instances known to the reporting instance, which is included
 */
public record StatusReport(String instance, long generation, Vector<ReportedInstance> instances) {

    /** Status of one instance; {@code lastHeardMillis} is the age of the last heartbeat. */
    public record ReportedInstance(
            String instance,
            String dataCentre,
            String address,
            long generation,
            String serving,
            long lastHeardMillis) {}
}
