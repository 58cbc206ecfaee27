package org.sequoiaspindle.core.state.forwarding;

import java.util.Optional;

/**
 * Entry with which an instance of the system is registered in the store.
 *
 * @param name unique name
 * @param address address at which the instance accepts pieces from other instances
 * @param relayAddress address at which other instances can read the store through the instance;
 *     empty for instances of earlier versions
 */
public record InstanceEntry(
        String name, String dataCentre, HostPort address, Optional<HostPort> relayAddress) {

    /** Creates the entry of an instance through which others cannot read the store. */
    public InstanceEntry(String name, String dataCentre, HostPort address) {
        this(name, dataCentre, address, Optional.empty());
    }
}
