package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Optional;
import org.sequoiaspindle.core.common.Closer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.forwarding.permit.LeaseHold;
import org.sequoiaspindle.core.protocol.forwarding.ColdEndpointTracker;
import org.sequoiaspindle.core.protocol.forwarding.InstanceRegistration;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.protocol.forwarding.RegistryWatcher;
import org.sequoiaspindle.core.protocol.relay.RelayedStore;
import org.sequoiaspindle.core.protocol.relay.SharedStore;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.forwarding.ColdSpec;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.forwarding.permit.ColdEndpointGuard;
import org.sequoiaspindle.daemon.transport.forwarding.permit.ColdEndpointParts;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.relay.RelayLinks;
import org.sequoiaspindle.daemon.transport.relay.RelayListener;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/**
 * Keeps the registry in step with the platform's store and the instance registered there. Reads go
 * through the first instance of the data centre, and this instance reads for others when asked.
 */
final class RegistrySync implements AutoCloseable {

    private static final double MAX_UNSIGNED_INT = 0xFFFF_FFFFL;

    private final ForwardingSettings settings;
    private final EventLoop loop;
    private final Timer timer;
    private final Store store;
    private final MillisClock clock;
    private final RelayListener relayListener;
    private final Registry registry;
    private final ColdEndpointParts coldParts;
    private final RegistryWatcher watcher;
    private final Closer closer = new Closer();
    private volatile InstanceRegistration registration;

    /**
     * Creates the parts without starting them.
     *
     * @param store client of the platform's store
     * @param worker event loop to which all parts are confined
     */
    RegistrySync(
            ForwardingSettings settings,
            Store store,
            RegistryLayout layout,
            EventLoopWorker worker,
            MillisClock clock,
            ForwardingMetrics metrics,
            EventLog events) {
        this.settings = settings;
        loop = worker.loop();
        timer = worker.timer();
        this.store = store;
        this.clock = clock;
        ColdEndpointTracker tracker = new ColdEndpointTracker(this::coldSpec, clock, events);
        RegistryLayout observedLayout = layout.observedBy(tracker::registrationRead);
        boolean limitsCold = settings.endpointRules().coldRate().isPresent();
        registry =
                new Registry(
                        limitsCold ? observedLayout : layout, clock, MillisClock.wall(), events);
        coldParts =
                settings.endpointRules()
                        .coldRate()
                        .map(limit -> newGuard(limit, tracker, worker, metrics, events).parts())
                        .orElse(ColdEndpointParts.NONE);
        registry.onDataCentreRestored(coldParts.dataCentreRestored());
        SharedStore sharedStore = new SharedStore(store, layout.configurationKey(), clock, timer);
        relayListener = new RelayListener(sharedStore, loop);
        RelayedStore relayedStore =
                new RelayedStore(
                        settings.instance(),
                        () -> registry.instances().values(),
                        metrics.countRelayedReads(new RelayLinks(loop)),
                        sharedStore,
                        clock,
                        events);
        watcher =
                closer.register(
                        new RegistryWatcher(
                                relayedStore, layout, registry, timer, coldParts.views()));
    }

    private ColdEndpointGuard newGuard(
            ForwardingSettings.ColdRate limit,
            ColdEndpointTracker tracker,
            EventLoopWorker worker,
            ForwardingMetrics metrics,
            EventLog events) {
        return new ColdEndpointGuard(
                settings,
                limit,
                tracker,
                registry,
                store,
                this::lease,
                worker,
                clock,
                metrics,
                events);
    }

    /** Installs the handler of a connection from an instance that reads through this one. */
    void acceptFollower(Channel channel) {
        relayListener.install(channel);
    }

    /** Starts to read. */
    void startWatching() {
        loop.execute(() -> watcher.start(startSpread()));
    }

    /** Registers the instance, which other instances then use. */
    void register(InstanceEntry self) {
        registration =
                closer.register(
                        new InstanceRegistration(
                                store,
                                self,
                                settings.leaseMillis(),
                                timer,
                                ColdEndpointGuard.clocks(clock)));
        registration.register();
        coldParts.start().run();
    }

    /** Returns the local copy of the store's data. */
    Registry registry() {
        return registry;
    }

    /** Returns the connections of the limit for cold replicas with the other components. */
    ColdEndpointParts coldParts() {
        return coldParts;
    }

    private Optional<ColdSpec> coldSpec(String service) {
        return registry.configuration().service(service).flatMap(ServiceSpec::cold);
    }

    /** Returns the lease of the registration, empty if there is none. Thread-safe. */
    private Optional<LeaseHold> lease() {
        InstanceRegistration current = registration;
        return current == null ? Optional.empty() : current.lease();
    }

    /** Removes the registration, so that other instances stop using this instance. */
    void deregister() {
        registration.deregister();
        coldParts.release().run();
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Returns a number from 0 to 1 that differs between instances. */
    private double startSpread() {
        return Integer.toUnsignedLong(settings.instance().hashCode()) / MAX_UNSIGNED_INT;
    }
}
