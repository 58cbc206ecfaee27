package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.vavr.collection.HashMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.Closer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.forwarding.RepeatBudgets;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatuses;
import org.sequoiaspindle.core.coordination.forwarding.RunTimes;
import org.sequoiaspindle.core.coordination.forwarding.TimeEstimates;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.InstanceRegistration;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryFollower;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.protocol.forwarding.StageCodec;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.PeerInstance;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool;
import org.sequoiaspindle.daemon.transport.http.HttpCalls;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** An instance that forwards requests: its parts, joined, from start to drain. */
public final class ForwardingInstance implements AutoCloseable {

    /** Interval at which connections and replicas are looked at, in milliseconds. */
    private static final long CHECK_MS = 500;

    /**
     * Time after the signal to stop for which requests are taken, in milliseconds. The platform
     * stops sending new connections after two failed questions, one a second, unless too few
     * instances of a data centre are ready; requests that come later find an instance that lives.
     */
    private static final long LINGER_MS = 2_500;

    /**
     * Time before the end of a drain at which requests still in progress are ended, in
     * milliseconds.
     */
    private static final long LAST_ANSWERS_MS = 300;

    /** Interval at which a drain looks whether it is complete, in milliseconds. */
    private static final long DRAIN_CHECK_MS = 100;

    private static final String METRICS_PATH = "/metrics";
    private static final int READY = 200;
    private static final int NOT_READY = 503;

    /**
     * What the platform's adapter provides.
     *
     * @param store makes the client of the store from the calls of one event loop
     */
    public record Adapter(
            HttpDialect dialect,
            StageCodec stages,
            RegistryLayout layout,
            Function<HttpCalls, Store> store) {}

    private final ForwardingSettings settings;
    private final EventLog events;
    private final MillisClock clock = MillisClock.monotonic();
    private final Closer closer = new Closer();
    private final ForwardingMetrics metrics = new ForwardingMetrics();
    private final ClientConnections connections = new ClientConnections();
    private final MultiThreadIoEventLoopGroup loops;
    private final Map<EventExecutor, Worker> workers = new ConcurrentHashMap<>();
    private final Worker control;
    private final Registry registry;
    private final ForwardingParts parts;
    private final PieceListener pieceListener;
    private final RegistryFollower follower;
    private final Store store;
    private final Timer timer;
    private InstanceRegistration registration;
    private HostPort callers;
    private HostPort readiness;

    private ForwardingInstance(ForwardingSettings settings, Adapter adapter, EventLog events) {
        this.settings = settings;
        this.events = events;
        loops =
                new MultiThreadIoEventLoopGroup(
                        settings.workers(),
                        new DefaultThreadFactory("worker", true),
                        NioIoHandler.newFactory());
        closer.register(() -> loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        loops.forEach(loop -> workers.put(loop, worker((EventLoop) loop)));
        control = workers.get(loops.next());
        registry = new Registry(adapter.layout(), clock, MillisClock.wall(), events);
        store = metrics.counting(adapter.store().apply(control.calls()));
        timer = timer(control.loop());
        follower = closer.register(new RegistryFollower(store, adapter.layout(), registry, timer));
        ReplicaStatuses statuses = new ReplicaStatuses(settings.dataCentre());
        LocalPieceMaker local = new LocalPieceMaker(service -> maker(service, statuses, adapter));
        ResultReleaser releaser =
                new ResultReleaser(control, adapter.stages(), registry, local::released);
        pieceListener = new PieceListener(local, releaser, clock);
        GatheringPieceMaker pieces =
                new GatheringPieceMaker(
                        settings.instance(),
                        control,
                        registry,
                        local,
                        releaser,
                        new ResultLocator(adapter.stages(), registry),
                        clock,
                        events);
        parts = parts(adapter, statuses, pieces);
    }

    /** Starts an instance. It becomes ready once it holds a configuration. */
    public static ForwardingInstance start(
            ForwardingSettings settings, Adapter adapter, EventLog events) {
        ForwardingInstance instance = new ForwardingInstance(settings, adapter, events);
        instance.open();
        return instance;
    }

    /** Stops without cutting off requests; completes when the last connection has ended. */
    public CompletionStage<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        events.record(LogEvent.DRAIN_STARTED, HashMap.empty());
        connections.drain();
        registration.leave();
        long startedAt = clock.now();
        control.loop()
                .scheduleWithFixedDelay(
                        () -> advanceDrain(clock.now() - startedAt, drained),
                        DRAIN_CHECK_MS,
                        DRAIN_CHECK_MS,
                        TimeUnit.MILLISECONDS);
        return drained;
    }

    private void advanceDrain(long elapsed, CompletableFuture<Void> drained) {
        if (elapsed < LINGER_MS) {
            return;
        }
        connections.refuseRequests();
        connections.closeIdle();
        if (elapsed >= settings.drainMillis() - LAST_ANSWERS_MS) {
            connections.endRequests();
        }
        boolean over = connections.isEmpty() || elapsed >= settings.drainMillis();
        if (over && !drained.isDone()) {
            // Completion lets the process end, which stops the log: the line has to come first.
            events.record(LogEvent.DRAIN_ENDED, HashMap.of("complete", connections.isEmpty()));
            drained.complete(null);
        }
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Where clients connect. */
    public HostPort callers() {
        return callers;
    }

    /** Where the platform asks whether the instance takes connections. */
    public HostPort readiness() {
        return readiness;
    }

    private void open() {
        follower.start();
        HostPort peerLink = listen(Listeners.peers(loops, settings.peerLink(), pieceListener));
        PeerInstance self = new PeerInstance(settings.instance(), settings.dataCentre(), peerLink);
        registration =
                closer.register(
                        new InstanceRegistration(store, self, settings.leaseMillis(), timer));
        registration.start();
        readiness =
                listen(
                        status(
                                settings.readiness(),
                                parts.dialect().readinessPath(),
                                () -> new StatusListener.Page(isReady() ? READY : NOT_READY, "")));
        listen(
                status(
                        settings.metrics(),
                        METRICS_PATH,
                        () -> new StatusListener.Page(READY, metrics.text())));
        callers =
                listen(
                        Listeners.clients(
                                loops,
                                settings.callers(),
                                () -> registry.table().limits(),
                                channel ->
                                        new ClientConnection(
                                                parts,
                                                workers.get(channel.eventLoop()),
                                                connections)));
        control.loop()
                .scheduleWithFixedDelay(this::check, CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
        events.record(
                LogEvent.DAEMON_STARTED,
                HashMap.of(
                        "instance",
                        settings.instance(),
                        "dataCentre",
                        settings.dataCentre(),
                        "http",
                        callers.toString(),
                        "peer",
                        peerLink.toString()));
    }

    private void check() {
        connections.checkTimes(registry.table().limits());
        parts.statuses().retain(registry.replicas());
    }

    private boolean isReady() {
        return registry.isComplete() && !connections.isDraining() && parts.keysAllowAccepting();
    }

    private Channel status(HostPort address, String path, Supplier<StatusListener.Page> page) {
        return Listeners.status(loops, address, () -> new StatusListener(Map.of(path, page)));
    }

    /** Registers a listener to be closed and gives the address to which it is bound. */
    private HostPort listen(Channel listener) {
        closer.register(() -> listener.close().syncUninterruptibly());
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    private Worker worker(EventLoop loop) {
        ConnectionPool pool = new ConnectionPool(loop, NioSocketChannel.class, clock);
        return new Worker(loop, pool, new HttpCalls(loop, pool));
    }

    private ForwardingParts parts(
            Adapter adapter, ReplicaStatuses statuses, GatheringPieceMaker pieces) {
        ForwardingSettings.Repeats repeats = settings.repeats();
        return new ForwardingParts(
                settings,
                registry,
                adapter.dialect(),
                statuses,
                new RepeatBudgets(
                        new RepeatBudgets.Limits(
                                repeats.ratio(), repeats.windowMillis(), repeats.slack()),
                        () -> registry.peers().size(),
                        clock),
                new TimeEstimates(),
                new RunTimes(),
                pieces,
                pieces,
                new ResultLocator(adapter.stages(), registry),
                metrics,
                clock,
                events);
    }

    private BatchingPieceMaker maker(String service, ReplicaStatuses statuses, Adapter adapter) {
        Worker worker = workers.get(loops.next());
        PieceCalls calls =
                new PieceCalls(
                        worker.calls(), statuses, adapter.dialect(), adapter.stages(), clock);
        return new BatchingPieceMaker(service, worker, registry, statuses, calls, clock, events);
    }

    private static Timer timer(EventLoop loop) {
        return (delayMillis, task) -> {
            var scheduled = loop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
            return () -> scheduled.cancel(false);
        };
    }
}
