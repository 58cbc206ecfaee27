package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.sequoiaspindle.core.common.Closer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.forwarding.InstanceRegistration;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.protocol.forwarding.RegistryWatcher;
import org.sequoiaspindle.core.protocol.relay.RelayedStore;
import org.sequoiaspindle.core.protocol.relay.SharedStore;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
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
    private final RelayListener relayListener;
    private final RegistryWatcher watcher;
    private final Closer closer = new Closer();
    private InstanceRegistration registration;

    /**
     * Creates the parts without starting them.
     *
     * @param store client of the platform's store
     * @param loop event loop to which all parts are confined
     */
    RegistrySync(
            ForwardingSettings settings,
            Store store,
            RegistryLayout layout,
            Registry registry,
            EventLoop loop,
            Timer timer,
            MillisClock clock,
            ForwardingMetrics metrics,
            EventLog events) {
        this.settings = settings;
        this.loop = loop;
        this.timer = timer;
        this.store = store;
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
        watcher = closer.register(new RegistryWatcher(relayedStore, layout, registry, timer));
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
                        new InstanceRegistration(store, self, settings.leaseMillis(), timer));
        registration.register();
    }

    /** Removes the registration, so that other instances stop using this instance. */
    void deregister() {
        registration.deregister();
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
