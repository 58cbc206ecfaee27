package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import org.sequoiaspindle.standins.protocol.EndpointFrontend;
import org.sequoiaspindle.standins.protocol.Execution;
import org.sequoiaspindle.standins.protocol.Routes;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointOptions;
import org.sequoiaspindle.standins.state.LoadReport;

/** Listener and frontend of an endpoint, whatever it executes. */
final class EndpointHost implements EndpointServer {

    private final EndpointFrontend frontend;
    private final Listener listener;

    EndpointHost(EndpointOptions options, Execution execution, List<Routes.Route> furtherRoutes) {
        frontend = new EndpointFrontend(options, EventLoops.timer(), EventLoops.nowMs(), execution);
        listener = Listener.http(options.host(), options.port(), frontend.handler(furtherRoutes));
    }

    @Override
    public String address() {
        return listener.address();
    }

    @Override
    public void fault(EndpointFault fault) {
        frontend.fault(fault);
    }

    @Override
    public void leaving(boolean value) {
        frontend.leaving(value);
    }

    @Override
    public Map<String, Long> stats() {
        return frontend.stats();
    }

    @Override
    public LoadReport load() {
        return frontend.load();
    }

    @Override
    public void close() {
        listener.close();
    }
}
