package org.sequoiaspindle.core.state.forwarding;

/**
 * Entry with which an instance of the system is registered in the store.
 *
 * @param name unique name
 * @param address address at which the instance accepts connections from other instances
 */
public record InstanceEntry(String name, String dataCentre, HostPort address) {}
