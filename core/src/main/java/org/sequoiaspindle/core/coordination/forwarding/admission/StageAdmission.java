package org.sequoiaspindle.core.coordination.forwarding.admission;

import java.util.Optional;
import java.util.function.ToIntFunction;
import org.sequoiaspindle.core.coordination.forwarding.piece.StagePlan;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;
import org.sequoiaspindle.core.state.forwarding.StageSpec;

/**
 * Decides before the stages of a request start whether they can be computed. The number of pieces
 * is set by the client alone, so it is limited before any memory or time is spent on the pieces. A
 * request within the limit is rejected if it would not be served even by replicas that work for
 * nobody else; it would only take their memory and time from other requests. Immutable.
 *
 * @param maxPieces maximum number of pieces of a request, all stages together
 */
public record StageAdmission(int maxPieces) {

    /** Reason for which a request is rejected, with an explanation that names the limit. */
    public record Rejection(RejectionReason reason, String explanation) {}

    /**
     * Decides on one request.
     *
     * @param replicas returns the number of replicas of a service
     * @param remainingMillis time until the deadline of the request
     * @return empty if the stages may start
     */
    public Optional<Rejection> decide(
            ForwardingTable table,
            Route route,
            RequestMetadata metadata,
            ToIntFunction<String> replicas,
            long remainingMillis) {
        if (route.stages().isEmpty()) {
            return Optional.empty();
        }
        long pieces =
                route.stages().stream()
                        .mapToLong(stage -> metadata.pieceCount(stage.number()))
                        .sum();
        if (pieces > maxPieces) {
            return Optional.of(
                    new Rejection(
                            RejectionReason.TOO_MANY_PIECES,
                            "the request states "
                                    + pieces
                                    + " pieces; maxPiecesPerRequest is "
                                    + maxPieces));
        }
        if (pieces == 0) {
            return Optional.empty();
        }
        return route.stages().stream()
                .map(stage -> findTooLarge(table, stage, metadata, replicas))
                .flatMap(Optional::stream)
                .findFirst()
                .or(() -> findTooSlow(table, route, metadata, replicas, remainingMillis));
    }

    /** The results of a stage are needed together, so all of them have to fit into the memory. */
    private static Optional<Rejection> findTooLarge(
            ForwardingTable table,
            StageSpec stage,
            RequestMetadata metadata,
            ToIntFunction<String> replicas) {
        int replicaCount = replicas.applyAsInt(stage.service());
        double memoryBytes =
                batchSpec(table, stage)
                        .map(spec -> (double) spec.resultMemoryBytes() * replicaCount)
                        .orElse(0.0);
        double resultBytes = (double) metadata.pieceCount(stage.number()) * stage.resultBytes();
        if (memoryBytes <= 0 || resultBytes <= memoryBytes) {
            return Optional.empty();
        }
        return Optional.of(
                new Rejection(
                        RejectionReason.STAGES_TOO_LARGE,
                        "the results of stage %d need %.0f bytes; its %d replicas have %.0f"
                                .formatted(
                                        stage.number(), resultBytes, replicaCount, memoryBytes)));
    }

    private static Optional<Rejection> findTooSlow(
            ForwardingTable table,
            Route route,
            RequestMetadata metadata,
            ToIntFunction<String> replicas,
            long remainingMillis) {
        long minMillis =
                StagePlan.of(route, metadata)
                        .criticalPathMillis(stage -> minMillis(table, stage, metadata, replicas));
        if (minMillis <= remainingMillis) {
            return Optional.empty();
        }
        return Optional.of(
                new Rejection(
                        RejectionReason.STAGES_TOO_LARGE,
                        "the stages need at least "
                                + minMillis
                                + " ms; "
                                + remainingMillis
                                + " ms are left"));
    }

    /**
     * Returns the time in which all replicas together compute a stage if every call is full. The
     * time of the pieces is left out, because the configured one is only approximate.
     */
    private static long minMillis(
            ForwardingTable table,
            StageSpec stage,
            RequestMetadata metadata,
            ToIntFunction<String> replicas) {
        Optional<BatchSpec> spec = batchSpec(table, stage);
        if (spec.isEmpty()) {
            return 0;
        }
        double callsAtOnce = (double) spec.get().slots() * replicas.applyAsInt(stage.service());
        if (callsAtOnce <= 0) {
            return 0;
        }
        double calls =
                Math.ceil(metadata.pieceCount(stage.number()) / (double) spec.get().maxPieces());
        return (long) (Math.ceil(calls / callsAtOnce) * spec.get().callOverheadMillis());
    }

    private static Optional<BatchSpec> batchSpec(ForwardingTable table, StageSpec stage) {
        return table.service(stage.service()).flatMap(ServiceSpec::batch);
    }
}
