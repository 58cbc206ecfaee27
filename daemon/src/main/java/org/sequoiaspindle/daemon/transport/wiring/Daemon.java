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
import org.sequoiaspindle.core.coordination.routing.Groups;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.protocol.peer.PeerDuties;
import org.sequoiaspindle.core.protocol.peer.RemoteGroups;
import org.sequoiaspindle.core.protocol.publication.HeldConfiguration;
import org.sequoiaspindle.core.protocol.request.ForwardedCalls;
import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.request.RequestRecord;
import org.sequoiaspindle.core.protocol.request.Spillover;
import org.sequoiaspindle.core.protocol.request.StageReport;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.transport.LeavingObserver;
import org.sequoiaspindle.daemon.coordination.Drain;
import org.sequoiaspindle.daemon.coordination.EndpointJournal;
import org.sequoiaspindle.daemon.coordination.GroupLoads;
import org.sequoiaspindle.daemon.protocol.RequestJournal;
import org.sequoiaspindle.daemon.state.Settings;
import org.sequoiaspindle.daemon.transport.HttpFrontEnd;
import org.sequoiaspindle.daemon.transport.caller.CallerPorts;
import org.sequoiaspindle.daemon.transport.endpoint.HttpEndpointCaller;
import org.sequoiaspindle.daemon.transport.operator.MonitorPorts;
import org.sequoiaspindle.daemon.transport.operator.OperatorPorts;
import org.sequoiaspindle.daemon.transport.store.HttpInstanceList;
import org.sequoiaspindle.daemon.transport.store.HttpStore;
import org.sequoiaspindle.daemon.transport.telemetry.MetricsRecorder;
import org.sequoiaspindle.daemon.transport.telemetry.OtelHopTracer;

/** One entry instance: its parts, joined, from start to drain. */
public final class Daemon implements AutoCloseable {

    /** Interval at which waiting calls are looked at again, in milliseconds. */
    private static final long ADVANCE_MS = 50;

    /** Interval at which the membership is looked at, in milliseconds. */
    private static final long MEMBERSHIP_MS = 250;

    /** Interval at which changes of endpoints are logged, in milliseconds. */
    private static final long JOURNAL_MS = 1_000;

    /** Interval at which a missing configuration is logged, in milliseconds. */
    private static final long REMINDER_MS = 5_000;

    private static final double SHARE_TOLERANCE = 0.1;

    private final Foundation base;
    private final MetricsRecorder metrics;
    private final HttpFrontEnd frontEnd;
    private final Drain drain;
    private final Groups groups;
    private final PeerPath peers;
    private final ConfigurationPath configuration;
    private final RemoteGroups remoteGroups;
    private final RequestHandler handler;
    private final OtelHopTracer tracer;
    private final RequestJournal journal;
    private final AtomicBoolean readyLogged = new AtomicBoolean();
    private final AtomicReference<Standing> standing = new AtomicReference<>();

    /** What the groups were last configured with. */
    private record Standing(long generation, Set<String> leaving, double share) {}

    private Daemon(Settings settings, EventLog events) {
        base = Foundation.of(settings, events);
        metrics = new MetricsRecorder(base.clock());
        frontEnd =
                base.closer()
                        .register(
                                HttpFrontEnd.create(
                                        settings.http().host(), settings.http().port()));
        tracer =
                base.closer()
                        .register(
                                OtelHopTracer.create(
                                        settings.instance(),
                                        settings.dataCentre(),
                                        settings.telemetry()));
        journal = new RequestJournal(events);
        drain = new Drain(settings.drain(), base.delays());
        groups = RequestPath.groups(base);
        Store store =
                metrics.counting(
                        base.closer().register(new HttpStore(settings.platform().address())));
        configuration = ConfigurationPath.of(base, store, this::watches, this::adopted);
        EndpointCaller calls = new HttpEndpointCaller(frontEnd.eventLoops(), settings.endpoint());
        peers = PeerPath.of(base, duties(calls), metrics);
        remoteGroups = new RemoteGroups(peers::remotePeers, base.clock(), base.events());
        EndpointCaller endpoints = new LeavingObserver(calls, membership(), base.clock());
        handler = handler(store, endpoints);
    }

    /** Starts an instance. It becomes ready once it holds a configuration. */
    public static Daemon start(Settings settings, EventLog events) {
        Daemon daemon = new Daemon(settings, events);
        daemon.open();
        return daemon;
    }

    /** Stops without cutting off requests; completes with the number of those that were. */
    public CompletionStage<Long> drain() {
        base.events().record(LogEvent.DRAIN_STARTED, HashMap.of("running", drain.running()));
        return drain.start()
                .thenCompose(cutOff -> frontEnd.shutdownGracefully().handle((done, late) -> cutOff))
                .thenApply(
                        cutOff -> {
                            base.events()
                                    .record(LogEvent.DRAIN_ENDED, HashMap.of("cutOff", cutOff));
                            return cutOff;
                        });
    }

    @Override
    public void close() {
        base.closer().close();
    }

    private void open() {
        frontEnd.start(
                Vector.of(
                        new CallerPorts(handler, tracer),
                        operatorPorts(),
                        new MonitorPorts(metrics::text, this::isReady)));
        peers.open();
        configuration.follower().start();
        base.every(ADVANCE_MS, groups::advance);
        base.every(MEMBERSHIP_MS, this::reconfigure);
        EndpointJournal endpointJournal =
                new EndpointJournal(
                        groups, () -> membership().leaving().addresses(), base.events());
        base.every(JOURNAL_MS, endpointJournal::look);
        base.every(JOURNAL_MS, remoteGroups::look);
        base.every(REMINDER_MS, this::remindOfConfiguration);
        Settings settings = base.settings();
        base.events()
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
                                peers.address()));
    }

    private PeerDuties duties(EndpointCaller calls) {
        EndpointCaller forwarded =
                new ForwardedCalls(base.snapshots(), groups, calls, base.clock());
        return new PeerDuties(
                base.closer().register(new HttpInstanceList(base.settings().platform().address())),
                () -> configuration.follower().held(),
                (head, source) -> configuration.follower().offer(head, source),
                forwarded,
                this::state,
                new GroupLoads(groups, base.clock()));
    }

    private RequestHandler handler(Store store, EndpointCaller endpoints) {
        Spillover spillover = new Spillover(remoteGroups, peers.service().forwarder());
        RequestHandler runner =
                RequestPath.handler(
                        base,
                        store,
                        groups,
                        endpoints,
                        spillover,
                        tracer,
                        this::measure,
                        () -> InstanceShare.of(membership().table()));
        RequestHandler counted = metrics.counting(runner);
        return (request, sink) -> drain.track(() -> counted.handle(request, sink));
    }

    private void measure(RequestRecord record) {
        journal.accept(record);
        for (StageReport attempt : record.answer().stages()) {
            metrics.stageAttempted(
                    attempt.stage(), attempt.group(), attempt.result(), attempt.serviceMillis());
        }
    }

    private OperatorPorts operatorPorts() {
        return new OperatorPorts(
                base.settings().instance(),
                base.snapshots(),
                base.settings().bootstrapOperator(),
                ObjectSetReader::read,
                ObjectSetWriter::writePretty,
                configuration.publisher(),
                peers.service()::statuses);
    }

    /** Watchers tell the others of the data centre, which need not ask the store. */
    private void adopted(HeldConfiguration held) {
        reconfigure();
        if (watches()) {
            peers.service().announce(held);
        }
        if (readyLogged.compareAndSet(false, true)) {
            base.events().record(LogEvent.DAEMON_READY, HashMap.empty());
        }
    }

    /** Brings the groups in line with configuration and membership if either has changed. */
    private void reconfigure() {
        Standing before = standing.get();
        Standing now =
                new Standing(
                        base.snapshots().current().generation(),
                        membership().leaving().addresses(),
                        share(before));
        if (!now.equals(standing.getAndSet(now))) {
            groups.reconfigure(base.snapshots().current(), now.leaving(), now.share());
        }
    }

    /** Small movements of the share are left alone; they are not worth the work. */
    private double share(Standing before) {
        double share = InstanceShare.of(membership().table());
        boolean near = before != null && Math.abs(share / before.share() - 1) < SHARE_TOLERANCE;
        return near ? before.share() : share;
    }

    private Membership membership() {
        return peers.service().membership();
    }

    private boolean watches() {
        return WatcherRule.watches(membership().table());
    }

    private PeerState state() {
        if (drain.isDraining()) {
            return PeerState.DRAINING;
        }
        return isReady() ? PeerState.SERVING : PeerState.STARTING;
    }

    private void remindOfConfiguration() {
        if (base.snapshots().current().isNone()) {
            base.events().record(LogEvent.NO_CONFIGURATION, HashMap.empty());
        }
    }

    private boolean isReady() {
        return !base.snapshots().current().isNone() && !drain.isDraining();
    }
}
