package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.vavr.collection.HashMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.Closer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.admission.DurationEstimates;
import org.sequoiaspindle.core.coordination.forwarding.admission.FirstByteTimeEstimates;
import org.sequoiaspindle.core.coordination.forwarding.admission.ServiceRetryBudgets;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.CrashReporter;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.protocol.forwarding.StageCodec;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.forwarding.client.ClientConnection;
import org.sequoiaspindle.daemon.transport.forwarding.client.ClientConnections;
import org.sequoiaspindle.daemon.transport.forwarding.permit.ColdEndpointParts;
import org.sequoiaspindle.daemon.transport.forwarding.piece.BatchingPieceExecutor;
import org.sequoiaspindle.daemon.transport.forwarding.piece.DistributedPieceExecutor;
import org.sequoiaspindle.daemon.transport.forwarding.piece.LocalPieceExecutor;
import org.sequoiaspindle.daemon.transport.forwarding.piece.PieceListener;
import org.sequoiaspindle.daemon.transport.forwarding.piece.ReplicaPieceClient;
import org.sequoiaspindle.daemon.transport.forwarding.replica.ReplicaConnectionCheck;
import org.sequoiaspindle.daemon.transport.forwarding.replica.ReplicaHandleReleaser;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.forwarding.shared.MemoryLedger;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ReplicaAnswerRecorder;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ResultLocator;
import org.sequoiaspindle.daemon.transport.forwarding.shared.StrayAnswerLog;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** An instance that forwards requests. Creates the components and manages their life cycle. */
public final class ForwardingInstance implements AutoCloseable {

    /** Interval of the periodic checks of connections and replicas, in milliseconds. */
    private static final long CHECK_MS = 500;

    private static final String METRICS_PATH = "/metrics";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * Components provided by the platform's adapter.
     *
     * @param storeFactory creates the client of the store from the HTTP client of an event loop
     */
    public record Adapter(
            HttpDialect dialect,
            StageCodec stages,
            RegistryLayout layout,
            Function<HttpCallClient, Store> storeFactory) {}

    private final ForwardingSettings settings;
    private final EventLog events;
    private final MillisClock clock = MillisClock.monotonic();
    private final Closer closer = new Closer();
    private final ForwardingMetrics metrics = new ForwardingMetrics();
    private final MemoryLedger memory;
    private final ClientConnections connections = new ClientConnections();
    private final MultiThreadIoEventLoopGroup loops;
    private final Map<EventExecutor, EventLoopWorker> workers = new ConcurrentHashMap<>();
    private final StrayAnswerLog strayAnswers;
    private final EventLoopWorker control;
    private final Registry registry;
    private final ForwardingContext context;
    private final PieceListener pieceListener;
    private final RegistrySync registrySync;
    private final ReplicaState replicaState;
    private HostPort clientAddress;
    private HostPort readinessAddress;

    private ForwardingInstance(
            ForwardingSettings settings,
            Adapter adapter,
            EventLog events,
            LongSupplier droppedLines) {
        this.settings = settings;
        this.events = events;
        metrics.countDroppedLines(droppedLines);
        memory = new MemoryLedger(ProcessLimits.clients(settings), clock, metrics, events);
        metrics.showHeldMemory(kind -> memory.account().bytesOf(kind));
        loops =
                new MultiThreadIoEventLoopGroup(
                        settings.eventLoops(),
                        new DefaultThreadFactory("worker", true),
                        NioIoHandler.newFactory());
        closer.register(() -> loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        strayAnswers = new StrayAnswerLog(adapter.dialect().responseReader(), metrics, events);
        loops.forEach(
                loop ->
                        workers.put(
                                loop,
                                EventLoopWorker.of(
                                        (EventLoop) loop, clock, strayAnswers::recordUnrequested)));
        control = workers.get(loops.next());
        Store store = metrics.countStoreCalls(adapter.storeFactory().apply(control.httpClient()));
        registrySync = closer.register(newRegistrySync(adapter, store));
        registry = registrySync.registry();
        ColdEndpointParts coldParts = registrySync.coldParts();
        replicaState = new ReplicaState(settings, registry, coldParts, clock, metrics, events);
        ReplicaAnswerRecorder answerRecorder = replicaState.answerRecorder();
        ReplicaStatuses statuses = answerRecorder.statuses();
        LocalPieceExecutor localExecutor =
                new LocalPieceExecutor(
                        service -> newBatchingExecutor(service, answerRecorder, adapter));
        ReplicaHandleReleaser releaser =
                new ReplicaHandleReleaser(
                        control,
                        adapter.stages(),
                        registry,
                        replica -> statuses.acceptsWithoutPermit(replica, clock.now()),
                        localExecutor::resultsReleased);
        pieceListener = new PieceListener(localExecutor, releaser, coldParts.issuer(), clock);
        DistributedPieceExecutor pieceExecutor = newPieceExecutor(adapter, localExecutor, releaser);
        context = newContext(adapter, answerRecorder, pieceExecutor, newCrashReporter(store));
    }

    /**
     * Starts an instance, which reports ready once it has read a configuration and the replicas.
     *
     * @param droppedLines returns the number of lines of the log that were dropped
     */
    public static ForwardingInstance start(
            ForwardingSettings settings,
            Adapter adapter,
            EventLog events,
            LongSupplier droppedLines) {
        ForwardingInstance instance =
                new ForwardingInstance(settings, adapter, events, droppedLines);
        instance.open();
        return instance;
    }

    /**
     * Drains the instance. The returned future completes when all connections are closed or the
     * time limit is reached.
     */
    public CompletionStage<Void> drain() {
        registrySync.deregister();
        return new InstanceDrain(
                        connections, control.loop(), clock, events, settings.drainTimeoutMillis())
                .start();
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Returns the address at which clients connect. */
    public HostPort clientAddress() {
        return clientAddress;
    }

    /** Returns the address at which the platform checks the readiness of the instance. */
    public HostPort readinessAddress() {
        return readinessAddress;
    }

    private void open() {
        registrySync.startWatching();
        InstanceEntry self = listenForInstances();
        registrySync.register(self);
        listenForStatusRequests();
        clientAddress =
                listen(
                        ListenerSockets.bindClients(
                                loops,
                                settings.callers(),
                                () -> registry.configuration().limits(),
                                channel ->
                                        new ClientConnection(
                                                context,
                                                workers.get(channel.eventLoop()),
                                                connections)));
        control.loop()
                .scheduleWithFixedDelay(this::runChecks, CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
        events.record(
                LogEvent.DAEMON_STARTED,
                HashMap.of(
                        "instance",
                        settings.instance(),
                        "dataCentre",
                        settings.dataCentre(),
                        "http",
                        clientAddress.toString(),
                        "peer",
                        self.address().toString()));
    }

    /** Opens the listeners for other instances and returns the entry that contains them. */
    private InstanceEntry listenForInstances() {
        HostPort pieces =
                listen(
                        ListenerSockets.bindPeers(
                                loops, settings.peerLink(), pieceListener::install));
        HostPort relay =
                listen(
                        ListenerSockets.bindPeers(
                                loops, settings.relay(), registrySync::acceptFollower));
        return new InstanceEntry(
                settings.instance(),
                settings.dataCentre(),
                pieces,
                Optional.of(relay),
                settings.processorPercent());
    }

    private void listenForStatusRequests() {
        readinessAddress =
                listen(
                        statusListener(
                                settings.readiness(),
                                context.dialect().readinessPath(),
                                () -> new StatusHandler.Page(isReady() ? OK : UNAVAILABLE, "")));
        listen(
                statusListener(
                        settings.metrics(),
                        METRICS_PATH,
                        () -> new StatusHandler.Page(OK, metrics.prometheusText())));
    }

    private void runChecks() {
        connections.enforceTimeouts(registry.configuration().limits());
        replicaState.update(registry, clock.now());
    }

    private boolean isReady() {
        return registry.isInitialised() && !connections.isDraining() && context.mayAcceptWithKey();
    }

    private Channel statusListener(
            HostPort address, String path, Supplier<StatusHandler.Page> page) {
        MemoryLedger places = new MemoryLedger(ProcessLimits.STATUS, clock, metrics, events);
        return ListenerSockets.bindStatus(
                loops, address, () -> new StatusHandler(Map.of(path, page), places));
    }

    /** Registers a listener for closing and returns the address to which it is bound. */
    private HostPort listen(Channel listener) {
        closer.register(() -> listener.close().syncUninterruptibly());
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    private ForwardingContext newContext(
            Adapter adapter,
            ReplicaAnswerRecorder answerRecorder,
            DistributedPieceExecutor pieceExecutor,
            CrashReporter crashReporter) {
        ForwardingSettings.RetryLimits limits = settings.retryLimits();
        return new ForwardingContext(
                settings,
                registry,
                adapter.dialect(),
                answerRecorder,
                strayAnswers,
                new ServiceRetryBudgets(
                        new ServiceRetryBudgets.Limits(
                                limits.ratio(), limits.windowMillis(), limits.slack()),
                        () -> registry.instances().size(),
                        clock),
                new DurationEstimates(),
                new DurationEstimates(),
                new FirstByteTimeEstimates(),
                pieceExecutor,
                pieceExecutor,
                crashReporter,
                registrySync.coldParts().permits(),
                new ResultLocator(adapter.stages(), registry),
                memory,
                metrics,
                clock,
                events);
    }

    private RegistrySync newRegistrySync(Adapter adapter, Store store) {
        return new RegistrySync(settings, store, adapter.layout(), control, clock, metrics, events);
    }

    private DistributedPieceExecutor newPieceExecutor(
            Adapter adapter, LocalPieceExecutor localExecutor, ReplicaHandleReleaser releaser) {
        return new DistributedPieceExecutor(
                settings.instance(),
                control,
                registry,
                localExecutor,
                releaser,
                new ResultLocator(adapter.stages(), registry),
                clock,
                events);
    }

    private CrashReporter newCrashReporter(Store store) {
        return new CrashReporter(
                registry, store, new ReplicaConnectionCheck(control), control.timer(), events);
    }

    private BatchingPieceExecutor newBatchingExecutor(
            String service, ReplicaAnswerRecorder answerRecorder, Adapter adapter) {
        EventLoopWorker worker = workers.get(loops.next());
        ReplicaPieceClient pieceClient =
                new ReplicaPieceClient(
                        worker.httpClient(),
                        answerRecorder,
                        adapter.dialect(),
                        adapter.stages(),
                        clock);
        return new BatchingPieceExecutor(
                service, worker, registry, answerRecorder.statuses(), pieceClient, clock, events);
    }
}
