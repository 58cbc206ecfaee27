package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import org.sequoiaspindle.standins.protocol.EndpointFrontEnd;
import org.sequoiaspindle.standins.protocol.Router;
import org.sequoiaspindle.standins.protocol.StageExecutor;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointOptions;
import org.sequoiaspindle.standins.state.SlotUsage;

/** HTTP server of an endpoint stand-in with a given executor. */
final class EndpointHttpServer implements EndpointServer {

    private final EndpointFrontEnd frontEnd;
    private final TcpListener listener;

    EndpointHttpServer(
            EndpointOptions options, StageExecutor executor, List<Router.Route> additionalRoutes) {
        frontEnd =
                new EndpointFrontEnd(options, EventLoops.scheduler(), EventLoops.nowMs(), executor);
        listener =
                TcpListener.http(
                        options.host(), options.port(), frontEnd.handler(additionalRoutes));
    }

    @Override
    public String address() {
        return listener.address();
    }

    @Override
    public void setFault(EndpointFault fault) {
        frontEnd.setFault(fault);
    }

    @Override
    public void setLeaving(boolean value) {
        frontEnd.setLeaving(value);
    }

    @Override
    public Map<String, Long> counters() {
        return frontEnd.counters();
    }

    @Override
    public SlotUsage load() {
        return frontEnd.load();
    }

    @Override
    public void close() {
        listener.close();
    }
}
