package org.sequoiaspindle.standins.protocol;

import static org.sequoiaspindle.standins.protocol.Router.exact;
import static org.sequoiaspindle.standins.protocol.Router.immediate;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.coordination.ActionScheduler;
import org.sequoiaspindle.standins.coordination.SeededRandom;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointOptions;
import org.sequoiaspindle.standins.state.SlotUsage;
import org.sequoiaspindle.standins.state.WireName;

/** HTTP interface of an endpoint stand-in: stage calls and admin commands. */
public final class EndpointFrontEnd {

    private final EndpointContext context;
    private final long seed;
    private final AtomicLong arrivals = new AtomicLong();

    public EndpointFrontEnd(
            EndpointOptions options,
            ActionScheduler scheduler,
            LongSupplier nowMs,
            StageExecutor executor) {
        context = new EndpointContext(options, scheduler, nowMs, executor);
        seed = options.seed();
    }

    /**
     * Returns the handler for the endpoint protocol, the admin commands and the additional routes.
     */
    public HttpHandler handler(List<Router.Route> additionalRoutes) {
        List<Router.Route> routes =
                new ArrayList<>(
                        List.of(
                                exact("POST", "/v1/execute", this::execute),
                                immediate("GET", "/admin/stats", request -> handleStats()),
                                immediate("POST", "/admin/fault", this::handleSetFault),
                                immediate("POST", "/admin/leaving", this::handleSetLeaving)));
        routes.addAll(additionalRoutes);
        return new Router(routes);
    }

    /** Sets the current fault. */
    public void setFault(EndpointFault fault) {
        context.faults().setFault(fault);
    }

    /** Sets the {@code leaving} flag of the responses. */
    public void setLeaving(boolean value) {
        context.setLeaving(value);
    }

    /** Returns the counts by name, such as {@code busyMs}. */
    public Map<String, Long> counters() {
        return context.counters().countsByWireName();
    }

    /** Returns the current load, without the reporting delay. */
    public SlotUsage load() {
        return context.slots().load();
    }

    private void execute(FullRequest request, HttpResponder responder) {
        double randomValue = SeededRandom.uniform(seed, arrivals.incrementAndGet());
        new ActiveCall(context, ExecuteRequest.of(request), responder, randomValue).admit();
    }

    private FullResponse handleStats() {
        Map<String, Object> report = new LinkedHashMap<>(counters());
        report.put("load", load());
        return FullResponse.json(200, report);
    }

    private FullResponse handleSetFault(FullRequest request) {
        JsonNode body = StandinJson.parse(request.body().toUtf8String());
        setFault(
                new EndpointFault(
                        WireName.parse(EndpointFault.Mode.class, body.path("mode").asText()),
                        body.path("factor").asDouble(1),
                        body.path("durationMs").asLong(0),
                        body.path("share").asDouble(1)));
        return FullResponse.empty(204);
    }

    private FullResponse handleSetLeaving(FullRequest request) {
        setLeaving(Boolean.parseBoolean(request.query().get("value")));
        return FullResponse.empty(204);
    }
}
