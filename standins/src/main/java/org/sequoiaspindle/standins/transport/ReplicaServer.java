package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiaspindle.standins.protocol.HttpCall;
import org.sequoiaspindle.standins.protocol.ReplicaFrontEnd;
import org.sequoiaspindle.standins.protocol.StandinJson;
import org.sequoiaspindle.standins.state.ReplicaFault;

/** Stand-in for a replica on the users' platform. */
public final class ReplicaServer implements StandinServer {

    private final String id;
    private final ReplicaFrontEnd frontend;
    private final TcpListener listener;

    private ReplicaServer(String id, long serviceMs) {
        this.id = id;
        frontend = new ReplicaFrontEnd(id, this::address, serviceMs);
        listener = TcpListener.http("127.0.0.1", 0, frontend.handler());
    }

    /**
     * Starts a server on an ephemeral loopback port.
     *
     * @param serviceMs time from the arrival of a request or stage call to the response, in
     *     milliseconds
     */
    public static ReplicaServer start(String id, long serviceMs) {
        return new ReplicaServer(id, serviceMs);
    }

    @Override
    public String address() {
        return listener.address();
    }

    /** Registers the replica, or updates the registration. */
    public void register(RegistryServer registry, String service, String zone, String state) {
        registry.write(
                "servers/" + id,
                StandinJson.write(
                        Map.of(
                                "service", service, "address", address(), "zone", zone, "slots", 4,
                                "state", state, "born", 1)));
    }

    public void setFault(ReplicaFault fault) {
        frontend.setFault(fault);
    }

    /** Executed requests in the order of arrival. */
    public List<HttpCall> executedRequests() {
        return frontend.executedRequests();
    }

    /** Number of requests whose connection was closed before the answer had ended. */
    public long abandonedRequests() {
        return frontend.abandonedRequests();
    }

    public long pieceCalls() {
        return frontend.pieceCalls();
    }

    /** Handles of the results that the replica holds in memory. */
    public Set<String> heldHandles() {
        return frontend.heldHandles();
    }

    @Override
    public void close() {
        listener.close();
    }
}
