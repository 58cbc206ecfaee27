package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import org.sequoiaspindle.standins.coordination.ActionScheduler;
import org.sequoiaspindle.standins.coordination.DelayedInstanceList;
import org.sequoiaspindle.standins.coordination.KeyValueStore;
import org.sequoiaspindle.standins.protocol.PlatformFrontEnd;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.PlatformOptions;

/** Stand-in for the platform: key-value store, leases, watches and the instance list. */
public final class PlatformServer implements StandinServer {

    private final TcpListener listener;
    private final KeyValueStore store;
    private final DelayedInstanceList instanceList;
    private final PlatformFrontEnd frontEnd;

    private PlatformServer(PlatformOptions options) {
        ActionScheduler scheduler = EventLoops.scheduler();
        store = new KeyValueStore(EventLoops.nowMs(), scheduler);
        instanceList = new DelayedInstanceList(scheduler);
        frontEnd = new PlatformFrontEnd(store, instanceList, options.lagMs());
        listener = TcpListener.http(options.host(), options.port(), frontEnd.handler());
    }

    /** Starts a server on an ephemeral loopback port. */
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

    /** Sets the current fault. */
    public void setFault(PlatformFault fault) {
        frontEnd.setFault(fault);
    }

    /** Sets the instance list, which becomes visible after {@code lagMs}. */
    public void setInstances(List<ListedInstance> list, long lagMs) {
        instanceList.set(list, lagMs);
    }

    /** Returns the counts of calls by kind. */
    public Map<String, Long> callCounts() {
        return frontEnd.callCounts().countsByWireName();
    }

    public void resetCalls() {
        frontEnd.callCounts().reset();
    }

    /** Returns the number of waiting watches. */
    public int waitingWatchCount() {
        return store.watches().waitingCount();
    }

    @Override
    public void close() {
        listener.close();
    }
}
