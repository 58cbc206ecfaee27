package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;

/**
 * Who this instance is.
 *
 * @param instance identifier, unique in the installation
 * @param dataCentre data centre in which it runs
 * @param address peer address at which others reach it, {@code ip:port}
 * @param incarnation wall time of its start in milliseconds since the Unix epoch
 * @param secret secret shared by all instances
 * @param peers peer addresses known from the settings
 */
public record PeerSettings(
        String instance,
        String dataCentre,
        String address,
        long incarnation,
        PeerSecret secret,
        Vector<String> peers) {}
