package org.sequoiaspindle.standins.protocol;

import static org.sequoiaspindle.standins.protocol.Routes.answering;
import static org.sequoiaspindle.standins.protocol.Routes.exact;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.coordination.Draws;
import org.sequoiaspindle.standins.coordination.Timer;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointOptions;
import org.sequoiaspindle.standins.state.LoadReport;
import org.sequoiaspindle.standins.state.WireName;

/** HTTP conversation of an endpoint stand-in: calls of stages, and orders to the stand-in. */
public final class EndpointFrontend {

    private final EndpointState state;
    private final long seed;
    private final AtomicLong arrivals = new AtomicLong();

    public EndpointFrontend(
            EndpointOptions options, Timer timer, LongSupplier nowMs, Execution execution) {
        state = new EndpointState(options, timer, nowMs, execution);
        seed = options.seed();
    }

    /** Routes of the endpoint protocol and of the orders, and further ones of this endpoint. */
    public HttpHandler handler(List<Routes.Route> further) {
        List<Routes.Route> routes =
                new ArrayList<>(
                        List.of(
                                exact("POST", "/v1/execute", this::execute),
                                answering("GET", "/admin/stats", call -> reportStats()),
                                answering("POST", "/admin/fault", this::setFault),
                                answering("POST", "/admin/leaving", this::setLeaving)));
        routes.addAll(further);
        return new Routes(routes);
    }

    /** Sets the fault in force. */
    public void fault(EndpointFault fault) {
        state.faults().set(fault);
    }

    /** Sets the flag that answers carry. */
    public void leaving(boolean value) {
        state.leaving(value);
    }

    /** Counts by wire name. */
    public Map<String, Long> stats() {
        return state.stats().counts();
    }

    /** The present load, without lag. */
    public LoadReport load() {
        return state.slots().load();
    }

    private void execute(HttpCall call, Exchange exchange) {
        double draw = Draws.uniform(seed, arrivals.incrementAndGet());
        new ActiveCall(state, ExecuteCall.of(call), exchange, draw).arrive();
    }

    private HttpReply reportStats() {
        Map<String, Object> report = new LinkedHashMap<>(stats());
        report.put("load", load());
        return HttpReply.json(200, report);
    }

    private HttpReply setFault(HttpCall call) {
        JsonNode order = Json.parse(call.body().text());
        fault(
                new EndpointFault(
                        WireName.parse(EndpointFault.Mode.class, order.path("mode").asText()),
                        order.path("factor").asDouble(1),
                        order.path("durationMs").asLong(0),
                        order.path("share").asDouble(1)));
        return HttpReply.empty(204);
    }

    private HttpReply setLeaving(HttpCall call) {
        leaving(Boolean.parseBoolean(call.query().get("value")));
        return HttpReply.empty(204);
    }
}
