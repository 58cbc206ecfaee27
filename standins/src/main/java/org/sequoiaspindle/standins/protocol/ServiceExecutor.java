package org.sequoiaspindle.standins.protocol;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiaspindle.standins.coordination.ExecutionCounts;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.coordination.SeededRandom;
import org.sequoiaspindle.standins.state.ServiceOptions;

/** Simulates a service, encoder, retriever or reranker, and counts the executions. */
public final class ServiceExecutor implements StageExecutor {

    private final ServiceOptions options;
    private final ExecutionCounts counts = new ExecutionCounts();
    private final AtomicLong starts = new AtomicLong();

    public ServiceExecutor(ServiceOptions options) {
        this.options = options;
    }

    public ExecutionCounts counts() {
        return counts;
    }

    /** Returns the routes that report and reset the counts. */
    public List<Router.Route> routes() {
        return List.of(
                Router.immediate("GET", "/admin/executions", request -> handleCounts()),
                Router.immediate("POST", "/admin/executions/reset", request -> handleReset()));
    }

    @Override
    public void start(ActiveCall call) {
        ExecuteRequest request = call.request();
        counts.recordExecution(request.requestId(), request.input());
        double deviation =
                options.sigma()
                        * SeededRandom.gaussian(
                                options.endpointOptions().seed(), starts.incrementAndGet());
        call.scheduleStep(
                options.serviceMs() * Math.exp(deviation),
                () ->
                        call.completeWithOutput(
                                ExpectedAnswers.output(request.stage(), request.input())));
    }

    private FullResponse handleCounts() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("total", counts.total());
        fields.put("byRequest", counts.byRequest());
        fields.put("byInput", counts.byInput());
        return FullResponse.json(200, fields);
    }

    private FullResponse handleReset() {
        counts.reset();
        return FullResponse.empty(204);
    }
}
