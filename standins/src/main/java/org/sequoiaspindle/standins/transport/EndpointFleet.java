package org.sequoiaspindle.standins.transport;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiaspindle.standins.protocol.FleetReader;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.FleetMember;
import org.sequoiaspindle.standins.state.ServiceOptions;

/** Several endpoint stand-ins in one process on shared event loops. */
public final class EndpointFleet implements AutoCloseable {

    private final Map<String, EndpointServer> endpoints;

    private EndpointFleet(Map<String, EndpointServer> endpoints) {
        this.endpoints = Collections.unmodifiableMap(endpoints);
    }

    /**
     * Starts the endpoints of a fleet.
     *
     * @param definition JSON list of objects with role, name and options
     * @throws IllegalArgumentException if the definition is malformed
     */
    public static EndpointFleet start(String definition) {
        Map<String, EndpointServer> servers = new LinkedHashMap<>();
        EndpointFleet fleet = new EndpointFleet(servers);
        try {
            for (FleetMember member : FleetReader.read(definition)) {
                servers.put(member.name(), startMember(member));
            }
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** Returns the endpoints by name, in the order of the definition. */
    public Map<String, EndpointServer> endpoints() {
        return endpoints;
    }

    /** Returns the addresses by name, in the order of the definition. */
    public Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>();
        endpoints.forEach((name, endpoint) -> addresses.put(name, endpoint.address()));
        return addresses;
    }

    @Override
    public void close() {
        endpoints.values().forEach(EndpointServer::close);
    }

    private static EndpointServer startMember(FleetMember member) {
        return member.role() == FleetMember.Role.ENGINE
                ? EngineServer.start(EngineOptions.from(member.options()))
                : ServiceServer.start(ServiceOptions.from(member.options()));
    }
}
