package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import org.sequoiaspindle.standins.state.RepeatedAnswers;

/**
 * Stand-in for a small deployment of the users' platform: a store with a configuration, and
 * replicas of a register service, a stage service and a model pool.
 */
public final class UsersPlatformServer implements StandinServer {

    /** The only API key in the configuration. */
    public static final String API_KEY = "demo-key";

    private static final String DATA_CENTRE = "mc-north";
    private static final long SERVICE_MS = 15;

    /** Service of each replica, by replica id. */
    private static final Map<String, String> SERVICES_BY_REPLICA_ID =
            Map.of(
                    "register-1", "register",
                    "register-2", "register",
                    "board-1", "board",
                    "board-2", "board",
                    "pool-1", "pool");

    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[
             {"name":"lookup","host":"127.0.0.1","prefix":"/lookup/","kind":"idempotent",
              "timeout_ms":3000,"slo_ms":300,"priority":1,"service":"register","max_attempts":2},
             {"name":"fee","host":"127.0.0.1","prefix":"/fee/","kind":"non_idempotent",
              "timeout_ms":3000,"slo_ms":300,"priority":1,"service":"register","max_attempts":1},
             {"name":"chat","host":"127.0.0.1","prefix":"/stream/","kind":"stream",
              "timeout_ms":9000,"slo_ms":900,"priority":0,"service":"pool","max_attempts":1,
              "sticky":true,"stages":[{"service":"board","after":[],"bytes":1000}]}],
             "services":[{"name":"register","max_conns":96},{"name":"pool","max_conns":96},
              {"name":"board","max_conns":96,"pieces":{"slots":1,"queue":2,"batch":8,
               "call_ms":15.0,"item_ms":1.0,"room_mb":1,"handle_s":4}}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"water","api_keys":["%s"]}]}
            """;

    private final RegistryServer registry;
    private final List<ReplicaServer> replicas;

    private UsersPlatformServer(int port, RepeatedAnswers repeatedAnswers) {
        registry = RegistryServer.start(port);
        registry.write("op/config", CONFIGURATION.formatted(API_KEY));
        replicas =
                SERVICES_BY_REPLICA_ID.entrySet().stream()
                        .map(replica -> startReplica(replica, repeatedAnswers))
                        .toList();
    }

    /**
     * Starts the servers on loopback ports.
     *
     * @param port port of the store, 0 for an ephemeral port; the replicas use ephemeral ports
     */
    public static UsersPlatformServer start(int port) {
        return start(port, RepeatedAnswers.none());
    }

    /** Starts the servers with replicas that send some answers a second time. */
    public static UsersPlatformServer start(int port, RepeatedAnswers repeatedAnswers) {
        return new UsersPlatformServer(port, repeatedAnswers);
    }

    private ReplicaServer startReplica(
            Map.Entry<String, String> replica, RepeatedAnswers repeatedAnswers) {
        ReplicaServer server = ReplicaServer.start(replica.getKey(), SERVICE_MS);
        // Each replica repeats other answers than its neighbours do.
        server.setRepeatedAnswers(
                repeatedAnswers.withSeed(repeatedAnswers.seed() + replica.getKey().hashCode()));
        server.register(registry, replica.getValue(), DATA_CENTRE, "ready");
        return server;
    }

    /** Returns the address of the store. */
    @Override
    public String address() {
        return registry.address();
    }

    @Override
    public void close() {
        replicas.forEach(ReplicaServer::close);
        registry.close();
    }
}
