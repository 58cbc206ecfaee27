package org.sequoiaspindle.daemon.transport.wiring;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.routing.Groups;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.protocol.peer.InstanceStatus;
import org.sequoiaspindle.core.protocol.publication.HeldConfiguration;
import org.sequoiaspindle.core.protocol.request.HopTracer;
import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.request.RequestRecord;
import org.sequoiaspindle.core.protocol.request.Spillover;
import org.sequoiaspindle.core.protocol.request.StageReport;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.daemon.coordination.Drain;
import org.sequoiaspindle.daemon.state.Settings;
import org.sequoiaspindle.daemon.transport.HttpFrontEnd;
import org.sequoiaspindle.daemon.transport.caller.CallerPorts;
import org.sequoiaspindle.daemon.transport.endpoint.HttpEndpointCaller;
import org.sequoiaspindle.daemon.transport.operator.MonitorPorts;
import org.sequoiaspindle.daemon.transport.operator.OperatorPorts;
import org.sequoiaspindle.daemon.transport.store.HttpStore;
import org.sequoiaspindle.daemon.transport.telemetry.MetricsRecorder;
import org.sequoiaspindle.daemon.transport.telemetry.OtelHopTracer;

/** One entry instance: its parts, joined, from start to drain. */
public final class Daemon implements AutoCloseable {

    private static final long ADVANCE_MS = 50;

    private final Foundation base;
    private final HttpFrontEnd frontEnd;
    private final Drain drain;
    private final Groups groups;
    private final MetricsRecorder metrics;
    private final AtomicBoolean readyLogged = new AtomicBoolean();

    private Daemon(Settings settings, EventLog events) {
        base = Foundation.of(settings, events);
        frontEnd =
                base.closer()
                        .register(
                                HttpFrontEnd.create(
                                        settings.http().host(), settings.http().port()));
        drain = new Drain(settings.drain(), base.delays());
        groups = RequestPath.groups(base);
        metrics = new MetricsRecorder(base.clock());
    }

    /** Starts an instance. It becomes ready once it holds a configuration. */
    public static Daemon start(Settings settings, EventLog events) {
        Daemon daemon = new Daemon(settings, events);
        daemon.open();
        return daemon;
    }

    /** Port of the HTTP front end. */
    public int port() {
        return frontEnd.port();
    }

    /** Stops without cutting off requests; completes with the number of those that were. */
    public CompletionStage<Long> drain() {
        base.events().record(LogEvent.DRAIN_STARTED, HashMap.of("running", drain.running()));
        return drain.start()
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
        Settings settings = base.settings();
        Store store =
                metrics.counting(
                        base.closer().register(new HttpStore(settings.platform().address())));
        ConfigurationPath configuration =
                ConfigurationPath.of(base, store, () -> true, this::adopted);
        EndpointCaller endpoints =
                new HttpEndpointCaller(frontEnd.eventLoops(), settings.endpoint());
        HopTracer tracer =
                base.closer()
                        .register(
                                OtelHopTracer.create(
                                        settings.instance(),
                                        settings.dataCentre(),
                                        settings.telemetry()));
        RequestHandler handler = handler(store, endpoints, tracer);
        frontEnd.start(
                Vector.of(
                        new CallerPorts(handler, tracer),
                        operatorPorts(configuration),
                        new MonitorPorts(metrics::text, this::isReady)));
        configuration.follower().start();
        base.every(ADVANCE_MS, groups::advance);
        base.events()
                .record(
                        LogEvent.DAEMON_STARTED,
                        HashMap.of(
                                "instance",
                                settings.instance(),
                                "dataCentre",
                                settings.dataCentre(),
                                "http",
                                settings.http().host() + ":" + frontEnd.port()));
    }

    private RequestHandler handler(Store store, EndpointCaller endpoints, HopTracer tracer) {
        RequestHandler runner =
                RequestPath.handler(
                        base,
                        store,
                        groups,
                        endpoints,
                        Spillover.NONE,
                        tracer,
                        this::measure,
                        () -> 1.0);
        RequestHandler counted = metrics.counting(runner);
        return (request, sink) -> drain.track(() -> counted.handle(request, sink));
    }

    private void measure(RequestRecord record) {
        for (StageReport attempt : record.answer().stages()) {
            metrics.stageAttempted(
                    attempt.stage(), attempt.group(), attempt.result(), attempt.serviceMillis());
        }
    }

    private OperatorPorts operatorPorts(ConfigurationPath configuration) {
        return new OperatorPorts(
                base.settings().instance(),
                base.snapshots(),
                base.settings().bootstrapOperator(),
                ObjectSetReader::read,
                ObjectSetWriter::writePretty,
                configuration.publisher(),
                this::instances);
    }

    private Vector<InstanceStatus> instances() {
        return Vector.of(
                new InstanceStatus(
                        base.settings().instance(),
                        base.settings().dataCentre(),
                        "",
                        base.snapshots().current().generation(),
                        isReady() ? "serving" : "starting",
                        0));
    }

    private void adopted(HeldConfiguration held) {
        groups.reconfigure(base.snapshots().current(), HashSet.empty(), 1);
        if (readyLogged.compareAndSet(false, true)) {
            base.events().record(LogEvent.DAEMON_READY, HashMap.empty());
        }
    }

    private boolean isReady() {
        return !base.snapshots().current().isNone() && !drain.isDraining();
    }
}
