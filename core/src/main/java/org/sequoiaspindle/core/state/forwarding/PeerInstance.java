package org.sequoiaspindle.core.state.forwarding;

/**
 * An instance of the system as registered in the store.
 *
 * @param name unique name
 * @param address address at which the instance accepts connections from other instances
 */
public record PeerInstance(String name, String dataCentre, HostPort address) {}
