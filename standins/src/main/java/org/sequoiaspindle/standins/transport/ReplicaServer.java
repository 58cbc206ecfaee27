package org.sequoiaspindle.standins.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiaspindle.standins.protocol.FullRequest;
import org.sequoiaspindle.standins.protocol.ReplicaFrontEnd;
import org.sequoiaspindle.standins.protocol.StandinJson;
import org.sequoiaspindle.standins.state.RepeatedAnswers;
import org.sequoiaspindle.standins.state.ReplicaFault;

/** Stand-in for a replica on the users' platform. */
public final class ReplicaServer implements StandinServer {

    private final String id;
    private final ReplicaFrontEnd frontEnd;
    private final TcpListener listener;

    private ReplicaServer(String id, long serviceMs) {
        this.id = id;
        frontEnd = new ReplicaFrontEnd(id, this::address, serviceMs);
        listener = TcpListener.http("127.0.0.1", 0, frontEnd.handler());
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
        registry.write("servers/" + id, StandinJson.write(registration(service, zone, state)));
    }

    /** Registers the replica as one that stays cold for some time. */
    public void registerCold(RegistryServer registry, String service, String zone, long coldMs) {
        Map<String, Object> registration = new HashMap<>(registration(service, zone, "ready"));
        registration.put("cold_left_ms", coldMs);
        registry.write("servers/" + id, StandinJson.write(registration));
    }

    private Map<String, Object> registration(String service, String zone, String state) {
        return Map.of(
                "service", service, "address", address(), "zone", zone, "slots", 4, "state", state,
                "born", 1);
    }

    public void setFault(ReplicaFault fault) {
        frontEnd.setFault(fault);
    }

    /** Sets which answers, also those to stage calls, are sent a second time. */
    public void setRepeatedAnswers(RepeatedAnswers value) {
        frontEnd.setRepeatedAnswers(value);
    }

    /** Stops for good when it begins to answer a request with a prompt part. */
    public void crashOnPart(String part) {
        frontEnd.crashOnPart(part, () -> new Thread(this::close, "crash-" + id).start());
    }

    /** Returns the executed requests in the order of arrival. */
    public List<FullRequest> executedRequests() {
        return frontEnd.executedRequests();
    }

    /** Returns the times at which the executed requests arrived, in milliseconds. */
    public List<Long> arrivalTimes() {
        return frontEnd.arrivalTimes();
    }

    /**
     * Returns the number of requests whose connection was closed before the end of the response.
     */
    public long abandonedRequestCount() {
        return frontEnd.abandonedRequestCount();
    }

    /** Returns the number of calls that released results. */
    public long releaseCallCount() {
        return frontEnd.releaseCallCount();
    }

    /** Returns the number of requests that were rejected with a request for a pause. */
    public long pausedRequestCount() {
        return frontEnd.pausedRequestCount();
    }

    public long pieceCallCount() {
        return frontEnd.pieceCallCount();
    }

    /** Returns the handles of the results that the replica holds in memory. */
    public Set<String> resultHandles() {
        return frontEnd.resultHandles();
    }

    @Override
    public void close() {
        listener.close();
    }
}
