package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.bench.coordination.Scenario;
import org.sequoiaspindle.bench.protocol.BenchJson;

/** Injects the fault of a scenario into an installation and removes the fault. */
final class FaultInjector {

    private static final double SLOWED_ENDPOINT_SHARE = 0.2;
    private static final double SLOW_FACTOR = 10;
    private static final String FAULT_PATH = "/admin/fault";

    private final BenchContext bench;
    private final PolicyInstallation installation;
    private final Scenario.Fault fault;

    FaultInjector(BenchContext bench, PolicyInstallation installation, Scenario.Fault fault) {
        this.bench = bench;
        this.installation = installation;
        this.fault = fault;
    }

    /** Injects the fault. */
    CompletableFuture<Void> inject() {
        return switch (fault) {
            case NONE -> CompletableFuture.completedFuture(null);
            case KILL_INSTANCE -> {
                installation.instances().last().process().kill();
                yield CompletableFuture.completedFuture(null);
            }
            case SLOW_ENDPOINTS -> setFault("slow");
            case FREEZE_ENGINE -> setFault("frozen");
            case STOP_STORE -> setFault("down");
        };
    }

    /** Removes the fault. A killed instance is not restarted. */
    CompletableFuture<Void> remove() {
        return switch (fault) {
            case NONE, KILL_INSTANCE -> CompletableFuture.completedFuture(null);
            case SLOW_ENDPOINTS, FREEZE_ENGINE, STOP_STORE -> setFault("none");
        };
    }

    private CompletableFuture<Void> setFault(String mode) {
        ObjectNode body = BenchJson.object().put("mode", mode).put("factor", SLOW_FACTOR);
        return CompletableFuture.allOf(
                targetAddresses()
                        .map(address -> bench.operator().postAdmin(address, FAULT_PATH, body))
                        .toJavaArray(CompletableFuture[]::new));
    }

    private Vector<String> targetAddresses() {
        return switch (fault) {
            case NONE, KILL_INSTANCE -> Vector.empty();
            case SLOW_ENDPOINTS ->
                    PolicyInstallation.STAGES_BY_GROUP
                            .keySet()
                            .toVector()
                            .flatMap(group -> endpointsToSlow(installation.endpoints(group)));
            case FREEZE_ENGINE -> installation.endpoints("engine").take(1);
            case STOP_STORE -> Vector.of(installation.platform());
        };
    }

    /** Selects the endpoints of a group to slow down: at least one, to affect each stage. */
    private static Vector<String> endpointsToSlow(Vector<String> endpoints) {
        return endpoints.take(
                Math.max(1, (int) Math.round(endpoints.size() * SLOWED_ENDPOINT_SHARE)));
    }
}
