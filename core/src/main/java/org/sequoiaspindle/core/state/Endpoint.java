package org.sequoiaspindle.core.state;

/**
 * A back end that executes calls of pipeline stages.
 *
 * @param name unique name
 * @param group name of the endpoint group that contains the endpoint
 * @param dataCentre data centre in which the endpoint runs
 * @param address IP address and port, {@code ip:port}
 * @param slots calls that the endpoint can run concurrently, 1 to 4096
 * @param leaving whether the endpoint must receive no new calls
 */
public record Endpoint(
        String name, String group, String dataCentre, String address, int slots, boolean leaving)
        implements NamedObject {}
