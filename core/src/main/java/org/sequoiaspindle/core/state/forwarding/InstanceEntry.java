package org.sequoiaspindle.core.state.forwarding;

import java.util.Optional;

/**
 * Entry with which an instance of the system is registered in the store.
 *
 * @param name unique name
 * @param address address at which the instance accepts pieces from other instances
 * @param relayAddress address at which other instances can read the store through the instance;
 *     empty for instances of earlier versions
 * @param processorPercent processor time that the instance may use, in percent of a core
 */
public record InstanceEntry(
        String name,
        String dataCentre,
        HostPort address,
        Optional<HostPort> relayAddress,
        int processorPercent) {

    /** Processor time assumed for an instance that states none, in percent of a core. */
    public static final int DEFAULT_PROCESSOR_PERCENT = 100;

    /** Creates the entry of an instance that does not state its processor time. */
    public InstanceEntry(
            String name, String dataCentre, HostPort address, Optional<HostPort> relayAddress) {
        this(name, dataCentre, address, relayAddress, DEFAULT_PROCESSOR_PERCENT);
    }

    /** Creates the entry of an instance through which others cannot read the store. */
    public InstanceEntry(String name, String dataCentre, HostPort address) {
        this(name, dataCentre, address, Optional.empty());
    }
}
