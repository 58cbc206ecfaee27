package org.sequoiaspindle.daemon.transport.wiring;

import io.vavr.collection.HashMap;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.membership.InstanceShare;
import org.sequoiaspindle.core.coordination.membership.Membership;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.coordination.membership.WatcherRule;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.protocol.peer.PeerServiceDependencies;
import org.sequoiaspindle.core.protocol.peer.RemoteTargetSelector;
import org.sequoiaspindle.core.protocol.publication.ActiveConfiguration;
import org.sequoiaspindle.core.protocol.request.AttemptReport;
import org.sequoiaspindle.core.protocol.request.LocalEndpointCaller;
import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.request.RequestSummary;
import org.sequoiaspindle.core.protocol.request.Spillover;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.transport.LeavingFlagRecorder;
import org.sequoiaspindle.daemon.coordination.EndpointChangeLogger;
import org.sequoiaspindle.daemon.coordination.GroupLoadSampler;
import org.sequoiaspindle.daemon.coordination.RequestDrainer;
import org.sequoiaspindle.daemon.protocol.RequestLogger;
import org.sequoiaspindle.daemon.state.EntrySettings;
import org.sequoiaspindle.daemon.transport.HttpFrontEnd;
import org.sequoiaspindle.daemon.transport.caller.CallerDependencies;
import org.sequoiaspindle.daemon.transport.endpoint.HttpEndpointCaller;
import org.sequoiaspindle.daemon.transport.operator.MonitoringDependencies;
import org.sequoiaspindle.daemon.transport.operator.OperatorDependencies;
import org.sequoiaspindle.daemon.transport.store.HttpInstanceList;
import org.sequoiaspindle.daemon.transport.store.HttpStore;
import org.sequoiaspindle.daemon.transport.telemetry.EntryMetrics;
import org.sequoiaspindle.daemon.transport.telemetry.OtelSpanTracer;

/** An entry instance: creates and connects its components, and starts, drains and closes them. */
public final class EntryInstance implements AutoCloseable {

    /** Interval at which the endpoint groups re-examine their queued calls. */
    private static final long GROUP_ADVANCE_INTERVAL_MS = 50;

    /** Interval at which the groups are reconfigured if the membership has changed. */
    private static final long MEMBERSHIP_INTERVAL_MS = 250;

    /**
     * Interval at which state changes of endpoints and spillover to other data centres are logged.
     */
    private static final long ENDPOINT_LOG_INTERVAL_MS = 1_000;

    /** Interval at which the lack of a configuration is logged. */
    private static final long MISSING_CONFIGURATION_INTERVAL_MS = 5_000;

    private static final double INSTANCE_SHARE_TOLERANCE = 0.1;

    private final SharedComponents shared;
    private final EntryMetrics metrics;
    private final HttpFrontEnd frontEnd;
    private final RequestDrainer drainer;
    private final GroupSchedulers groups;
    private final PeerComponents peerComponents;
    private final ConfigurationComponents configurationComponents;
    private final RemoteTargetSelector remoteTargetSelector;
    private final RequestHandler handler;
    private final OtelSpanTracer tracer;
    private final RequestLogger requestLogger;
    private final AtomicBoolean readyLogged = new AtomicBoolean();
    private final AtomicReference<GroupInputs> groupInputs = new AtomicReference<>();

    /** Values with which the groups were last reconfigured. */
    private record GroupInputs(long generation, Set<String> leaving, double share) {}

    private EntryInstance(EntrySettings settings, EventLog events) {
        shared = SharedComponents.create(settings, events);
        metrics = new EntryMetrics(shared.clock());
        frontEnd =
                shared.closer()
                        .register(
                                HttpFrontEnd.create(
                                        settings.http().host(), settings.http().port()));
        tracer =
                shared.closer()
                        .register(
                                OtelSpanTracer.create(
                                        settings.instance(),
                                        settings.dataCentre(),
                                        settings.telemetry()));
        requestLogger = new RequestLogger(events);
        drainer = new RequestDrainer(settings.drain(), shared.delayFunction());
        groups = RequestHandlerFactory.createGroups(shared);
        Store store =
                metrics.countStoreCalls(
                        shared.closer().register(new HttpStore(settings.platform().address())));
        configurationComponents =
                ConfigurationComponents.create(
                        shared, store, this::isStoreWatcher, this::onConfigurationAdopted);
        EndpointCaller endpointCaller =
                new HttpEndpointCaller(frontEnd.eventLoops(), settings.endpoint());
        peerComponents =
                PeerComponents.create(shared, peerServiceDependencies(endpointCaller), metrics);
        remoteTargetSelector =
                new RemoteTargetSelector(
                        peerComponents::remotePeers, shared.clock(), shared.events());
        EndpointCaller leavingFlagRecorder =
                new LeavingFlagRecorder(endpointCaller, membership(), shared.clock());
        handler = createHandler(store, leavingFlagRecorder);
    }

    /** Starts an instance, which becomes ready once it has a configuration. */
    public static EntryInstance start(EntrySettings settings, EventLog events) {
        EntryInstance instance = new EntryInstance(settings, events);
        instance.startComponents();
        return instance;
    }

    /**
     * Drains the instance before it stops; the returned future completes with the number of
     * requests that were still running at the timeout.
     */
    public CompletionStage<Long> drain() {
        shared.events()
                .record(LogEvent.DRAIN_STARTED, HashMap.of("running", drainer.runningRequests()));
        return drainer.start()
                .thenCompose(
                        cutOffRequests ->
                                frontEnd.shutdownGracefully()
                                        .handle((done, failure) -> cutOffRequests))
                .thenApply(
                        cutOffRequests -> {
                            shared.events()
                                    .record(
                                            LogEvent.DRAIN_ENDED,
                                            HashMap.of("cutOff", cutOffRequests));
                            return cutOffRequests;
                        });
    }

    @Override
    public void close() {
        shared.closer().close();
    }

    private void startComponents() {
        frontEnd.start(
                Vector.of(
                        new CallerDependencies(handler, tracer),
                        operatorDependencies(),
                        new MonitoringDependencies(metrics::prometheusText, this::isReady)));
        peerComponents.start();
        configurationComponents.follower().start();
        shared.runAtInterval(GROUP_ADVANCE_INTERVAL_MS, groups::advance);
        shared.runAtInterval(MEMBERSHIP_INTERVAL_MS, this::reconfigure);
        EndpointChangeLogger endpointChangeLogger =
                new EndpointChangeLogger(
                        groups, () -> membership().leavingEndpoints().addresses(), shared.events());
        shared.runAtInterval(ENDPOINT_LOG_INTERVAL_MS, endpointChangeLogger::logChanges);
        shared.runAtInterval(ENDPOINT_LOG_INTERVAL_MS, remoteTargetSelector::logSpillChanges);
        shared.runAtInterval(MISSING_CONFIGURATION_INTERVAL_MS, this::logMissingConfiguration);
        EntrySettings settings = shared.settings();
        shared.events()
                .record(
                        LogEvent.DAEMON_STARTED,
                        HashMap.of(
                                "instance",
                                settings.instance(),
                                "dataCentre",
                                settings.dataCentre(),
                                "http",
                                settings.http().host() + ":" + frontEnd.port(),
                                "peer",
                                peerComponents.peerAddress()));
    }

    private PeerServiceDependencies peerServiceDependencies(EndpointCaller endpointCaller) {
        EndpointCaller localCaller =
                new LocalEndpointCaller(shared.snapshots(), groups, endpointCaller, shared.clock());
        return new PeerServiceDependencies(
                shared.closer()
                        .register(new HttpInstanceList(shared.settings().platform().address())),
                () -> configurationComponents.follower().activeConfiguration(),
                (head, source) -> configurationComponents.follower().offer(head, source),
                localCaller,
                this::peerState,
                new GroupLoadSampler(groups, shared.clock()));
    }

    private RequestHandler createHandler(Store store, EndpointCaller leavingFlagRecorder) {
        Spillover spillover =
                new Spillover(remoteTargetSelector, peerComponents.service().forwarder());
        RequestHandler requestRunner =
                RequestHandlerFactory.createHandler(
                        shared,
                        store,
                        groups,
                        leavingFlagRecorder,
                        spillover,
                        tracer,
                        this::recordRequest,
                        () -> InstanceShare.of(membership().table()));
        RequestHandler countedHandler = metrics.countRequests(requestRunner);
        return (request, sink) -> drainer.track(() -> countedHandler.handle(request, sink));
    }

    private void recordRequest(RequestSummary record) {
        requestLogger.accept(record);
        for (AttemptReport attempt : record.answer().attempts()) {
            metrics.recordStageAttempt(
                    attempt.stage(), attempt.group(), attempt.result(), attempt.serviceMillis());
        }
    }

    private OperatorDependencies operatorDependencies() {
        return new OperatorDependencies(
                shared.settings().instance(),
                shared.snapshots(),
                shared.settings().bootstrapOperator(),
                ObjectSetReader::read,
                ObjectSetWriter::writePretty,
                configurationComponents.publisher(),
                peerComponents.service()::statuses);
    }

    /**
     * Reconfigures the groups and, after the first configuration, logs that the instance is ready.
     * A store watcher also announces the configuration to the other instances of its data centre,
     * which therefore need not query the store.
     */
    private void onConfigurationAdopted(ActiveConfiguration activeConfiguration) {
        reconfigure();
        if (isStoreWatcher()) {
            peerComponents.service().announce(activeConfiguration);
        }
        if (readyLogged.compareAndSet(false, true)) {
            shared.events().record(LogEvent.DAEMON_READY, HashMap.empty());
        }
    }

    /**
     * Reconfigures the groups if the configuration, the leaving endpoints or the share of this
     * instance have changed.
     */
    private void reconfigure() {
        GroupInputs previousInputs = groupInputs.get();
        GroupInputs currentInputs =
                new GroupInputs(
                        shared.snapshots().current().generation(),
                        membership().leavingEndpoints().addresses(),
                        instanceShare(previousInputs));
        if (!currentInputs.equals(groupInputs.getAndSet(currentInputs))) {
            groups.reconfigure(
                    shared.snapshots().current(), currentInputs.leaving(), currentInputs.share());
        }
    }

    /**
     * Returns the share of this instance. Keeps the previous share if the new share differs by less
     * than the tolerance, to avoid reconfiguring the groups for small changes.
     */
    private double instanceShare(GroupInputs previousInputs) {
        double share = InstanceShare.of(membership().table());
        boolean isWithinTolerance =
                previousInputs != null
                        && Math.abs(share / previousInputs.share() - 1) < INSTANCE_SHARE_TOLERANCE;
        return isWithinTolerance ? previousInputs.share() : share;
    }

    private Membership membership() {
        return peerComponents.service().membership();
    }

    private boolean isStoreWatcher() {
        return WatcherRule.isWatcher(membership().table());
    }

    private PeerState peerState() {
        if (drainer.isDraining()) {
            return PeerState.DRAINING;
        }
        return isReady() ? PeerState.SERVING : PeerState.STARTING;
    }

    private void logMissingConfiguration() {
        if (shared.snapshots().current().isInitial()) {
            shared.events().record(LogEvent.NO_CONFIGURATION, HashMap.empty());
        }
    }

    private boolean isReady() {
        return !shared.snapshots().current().isInitial() && !drainer.isDraining();
    }
}
