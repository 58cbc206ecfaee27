package org.sequoiaspindle.core.state;

/**
 * A back end that executes calls of pipeline stages.
 *
 * @param name unique name
 * @param group name of its endpoint group
 * @param dataCentre data centre in which it runs
 * @param address IP address and port, {@code ip:port}
 * @param slots calls that it can run concurrently, 1 to 4096
 * @param leaving whether it must receive no new calls
 */
public record Endpoint(
        String name, String group, String dataCentre, String address, int slots, boolean leaving)
        implements NamedObject {}
