package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.sequoiaspindle.core.state.forwarding.ApiKeyOwner;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.StageSpec;
import org.sequoiaspindle.core.state.forwarding.WeightedService;

/** Sample values for the tests of this package. */
public final class ForwardingSamples {

    private ForwardingSamples() {}

    public static Route route(
            String prefix, RequestKind kind, int maxAttempts, List<StageSpec> stages) {
        return new Route(
                "route " + prefix,
                "desk.example",
                prefix,
                kind,
                5_000,
                500,
                1,
                List.of(new WeightedService("register", 1)),
                maxAttempts,
                stages,
                false,
                false,
                false,
                0);
    }

    public static Route route(String prefix, RequestKind kind) {
        return route(prefix, kind, 2, List.of());
    }

    public static RequestMetadata request(
            String path, Optional<String> key, List<Integer> pieceCounts) {
        return new RequestMetadata(
                "request-1",
                "desk.example",
                path,
                4_000,
                key,
                List.of(),
                0,
                0,
                pieceCounts,
                Optional.of("key"));
    }

    public static ForwardingTable table(Route... routes) {
        return new ForwardingTable(
                1,
                List.of(routes),
                List.of(),
                IngressLimits.DEFAULT,
                Map.of("secret", new ApiKeyOwner("water", OptionalInt.of(0))),
                true);
    }

    public static Replica replica(String name, long startedAtMillis, boolean draining) {
        return new Replica(
                new ReplicaId(name, startedAtMillis),
                "register",
                new HostPort("10.0.0.1", 8_000 + name.hashCode() % 100),
                "a",
                4,
                draining);
    }

    public static ReplicaRegistration registration(String name, long revision) {
        return new ReplicaRegistration("servers/" + name, revision, replica(name, 1, false));
    }
}
