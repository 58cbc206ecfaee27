package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import org.sequoiaspindle.standins.coordination.InstanceListing;
import org.sequoiaspindle.standins.coordination.KeyValueStore;
import org.sequoiaspindle.standins.coordination.Timer;
import org.sequoiaspindle.standins.protocol.PlatformFrontend;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.PlatformOptions;

/** Stand-in for the platform: key-value service, leases, watches and the instance list. */
public final class PlatformServer implements Server {

    private final Listener listener;
    private final KeyValueStore store;
    private final InstanceListing instances;
    private final PlatformFrontend frontend;

    private PlatformServer(PlatformOptions options) {
        Timer timer = EventLoops.timer();
        store = new KeyValueStore(EventLoops.nowMs(), timer);
        instances = new InstanceListing(timer);
        frontend = new PlatformFrontend(store, instances, options.lagMs());
        listener = Listener.http(options.host(), options.port(), frontend.handler());
    }

    /** Starts on an ephemeral loopback port. */
    public static PlatformServer start() {
        return start(PlatformOptions.defaults());
    }

    public static PlatformServer start(PlatformOptions options) {
        return new PlatformServer(options);
    }

    @Override
    public String address() {
        return listener.address();
    }

    /** Sets the fault in force. */
    public void fault(PlatformFault fault) {
        frontend.fault(fault);
    }

    /** Sets the instance list, visible after the lag. */
    public void instances(List<ListedInstance> list, long lagMs) {
        instances.set(list, lagMs);
    }

    /** Counts of calls by kind. */
    public Map<String, Long> calls() {
        return frontend.calls().counts();
    }

    public void resetCalls() {
        frontend.calls().reset();
    }

    /** Number of watches that wait. */
    public int waitingWatches() {
        return store.watches().size();
    }

    @Override
    public void close() {
        listener.close();
    }
}
