package org.sequoiaspindle.daemon.transport.forwarding.shared;

import java.util.Optional;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.admission.DurationEstimates;
import org.sequoiaspindle.core.coordination.forwarding.admission.FirstByteTimeEstimates;
import org.sequoiaspindle.core.coordination.forwarding.admission.ServiceRetryBudgets;
import org.sequoiaspindle.core.coordination.forwarding.admission.StageAdmission;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.CrashReporter;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.PieceExecutor;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.SendPermits;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/**
 * Components shared by all requests. Each component is thread-safe.
 *
 * @param memory memory that connections of clients use
 * @param permits supplies the permits that requests to cold replicas need
 * @param pieceTimes estimated time from the request of a piece to its result, by service
 * @param responseTimes estimated time from sending a request to the end of the response, by route
 */
public record ForwardingContext(
        ForwardingSettings settings,
        Registry registry,
        HttpDialect dialect,
        ReplicaAnswerRecorder answerRecorder,
        StrayAnswerLog strayAnswers,
        ServiceRetryBudgets retryBudgets,
        DurationEstimates pieceTimes,
        DurationEstimates responseTimes,
        FirstByteTimeEstimates firstByteTimes,
        PieceExecutor pieceExecutor,
        HandleReleaser releaser,
        CrashReporter crashReporter,
        SendPermits permits,
        ResultLocator locator,
        MemoryLedger memory,
        ForwardingMetrics metrics,
        MillisClock clock,
        EventLog events) {

    /**
     * Maximum age of a key confirmation at which a request is accepted, as a fraction of the time
     * allowed for a revocation. The rest covers requests that are accepted but not sent yet.
     */
    private static final double ACCEPT_AGE_FRACTION = 0.8;

    /**
     * Maximum age of a key confirmation at which a request is sent, as a fraction of the time
     * allowed for a revocation. The rest covers network latency and delays of a busy event loop.
     */
    private static final double SEND_AGE_FRACTION = 0.94;

    public ReplicaStatuses statuses() {
        return answerRecorder.statuses();
    }

    /** Returns whether requests with an API key may be accepted. */
    public boolean mayAcceptWithKey() {
        return keysConfirmed(ACCEPT_AGE_FRACTION, 0);
    }

    /**
     * Returns whether a request with an API key may be sent to a replica.
     *
     * @param afterMillis delay from now until the request is sent
     */
    public boolean maySendWithKey(long afterMillis) {
        return keysConfirmed(SEND_AGE_FRACTION, afterMillis);
    }

    /** Returns whether replicas crash under a part of the request's prompt. */
    public boolean isPromptHarmful(RequestMetadata metadata) {
        return registry.crashEvidence()
                .harmfulPart(metadata.sharedPromptParts(), clock.now())
                .isPresent();
    }

    /**
     * Decides whether the stages of a request can be computed.
     *
     * @return empty if the stages may start
     */
    public Optional<StageAdmission.Rejection> decideOnStages(
            Route route, RequestMetadata metadata, long remainingMillis) {
        return new StageAdmission(settings.maxPiecesPerRequest())
                .decide(
                        registry.configuration(),
                        route,
                        metadata,
                        this::openReplicas,
                        remainingMillis);
    }

    /**
     * Returns whether a stage that the request needs has no replica because data centres are
     * evacuated or the replicas are gone. Deployments that evacuate nothing find this out at the
     * stage itself.
     */
    public boolean lacksStageReplicas(Route route, RequestMetadata metadata) {
        return settings.endpointRules().evacuatesDataCentres()
                && route.stages().stream()
                        .filter(stage -> metadata.pieceCount(stage.number()) > 0)
                        .anyMatch(stage -> openReplicas(stage.service()) == 0);
    }

    private int openReplicas(String service) {
        return statuses().countOpen(registry.replicas().replicasOf(service), clock.now());
    }

    private boolean keysConfirmed(double share, long afterMillis) {
        long allowed = settings.maxRevokedKeyMillis();
        return allowed == 0 || registry.keysConfirmed((long) (allowed * share) - afterMillis);
    }
}
