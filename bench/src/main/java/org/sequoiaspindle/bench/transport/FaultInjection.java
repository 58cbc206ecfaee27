package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.bench.coordination.Scenario;
import org.sequoiaspindle.bench.protocol.Json;

/** Begins and ends the fault of a scenario. */
final class FaultInjection {

    private static final double SLOWED_SHARE = 0.2;
    private static final double SLOW_FACTOR = 10;
    private static final String FAULT = "/admin/fault";

    private final Bench bench;
    private final PolicyInstallation installation;
    private final Scenario.Fault fault;

    FaultInjection(Bench bench, PolicyInstallation installation, Scenario.Fault fault) {
        this.bench = bench;
        this.installation = installation;
        this.fault = fault;
    }

    /** Puts the fault in force. */
    CompletableFuture<Void> begin() {
        return switch (fault) {
            case NONE -> CompletableFuture.completedFuture(null);
            case KILL_INSTANCE -> {
                installation.instances().last().process().kill();
                yield CompletableFuture.completedFuture(null);
            }
            case SLOW_ENDPOINTS -> order("slow");
            case FREEZE_ENGINE -> order("frozen");
            case STOP_STORE -> order("down");
        };
    }

    /** Takes the fault back; a killed instance stays dead. */
    CompletableFuture<Void> end() {
        return switch (fault) {
            case NONE, KILL_INSTANCE -> CompletableFuture.completedFuture(null);
            case SLOW_ENDPOINTS, FREEZE_ENGINE, STOP_STORE -> order("none");
        };
    }

    private CompletableFuture<Void> order(String mode) {
        ObjectNode body = Json.object().put("mode", mode).put("factor", SLOW_FACTOR);
        return CompletableFuture.allOf(
                targets()
                        .map(address -> bench.operator().order(address, FAULT, body))
                        .toJavaArray(CompletableFuture[]::new));
    }

    private Vector<String> targets() {
        return switch (fault) {
            case NONE, KILL_INSTANCE -> Vector.empty();
            case SLOW_ENDPOINTS ->
                    PolicyInstallation.STAGE_OF_GROUP
                            .keySet()
                            .toVector()
                            .flatMap(group -> someOf(installation.endpoints(group)));
            case FREEZE_ENGINE -> installation.endpoints("engine").take(1);
            case STOP_STORE -> Vector.of(installation.platform());
        };
    }

    /** At least one, so that each stage is hit. */
    private static Vector<String> someOf(Vector<String> endpoints) {
        return endpoints.take(Math.max(1, (int) Math.round(endpoints.size() * SLOWED_SHARE)));
    }
}
