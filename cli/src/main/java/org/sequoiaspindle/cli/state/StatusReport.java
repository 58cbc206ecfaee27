package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;

/**
 * Which generation is in force where, as one instance knows it.
 *
 * @param instance instance that answered
 * @param generation generation in force there
 * @param instances all instances that it knows of, itself included
 */
public record StatusReport(String instance, long generation, Vector<InstanceLine> instances) {

    /** One instance; {@code lastHeardMillis} is the age of its last heartbeat. */
    public record InstanceLine(
            String instance,
            String dataCentre,
            String address,
            long generation,
            String serving,
            long lastHeardMillis) {}
}
