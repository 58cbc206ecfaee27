package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;

/**
 * Identity of this instance and settings of its communication with peers.
 *
 * @param instance identifier, unique in the installation
 * @param dataCentre data centre of this instance
 * @param address peer address of this instance, {@code ip:port}
 * @param incarnation wall-clock time at which this instance started, in milliseconds since the Unix
 *     epoch
 * @param secret secret shared by all instances
 * @param peers peer addresses from the settings
 */
public record PeerSettings(
        String instance,
        String dataCentre,
        String address,
        long incarnation,
        PeerSecret secret,
        Vector<String> peers) {}
