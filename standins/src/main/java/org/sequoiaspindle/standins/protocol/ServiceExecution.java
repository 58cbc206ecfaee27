package org.sequoiaspindle.standins.protocol;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiaspindle.standins.coordination.Draws;
import org.sequoiaspindle.standins.coordination.ExecutionCounts;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.state.ServiceOptions;

/** Execution of a plain service, encoder, retriever or reranker; counts what it executes. */
public final class ServiceExecution implements Execution {

    private final ServiceOptions options;
    private final ExecutionCounts counts = new ExecutionCounts();
    private final AtomicLong starts = new AtomicLong();

    public ServiceExecution(ServiceOptions options) {
        this.options = options;
    }

    public ExecutionCounts counts() {
        return counts;
    }

    /** Routes that report and reset the counts. */
    public List<Routes.Route> routes() {
        return List.of(
                Routes.answering("GET", "/admin/executions", call -> report()),
                Routes.answering("POST", "/admin/executions/reset", call -> reset()));
    }

    @Override
    public void start(ActiveCall call) {
        ExecuteCall request = call.request();
        counts.add(request.requestId(), request.input());
        double deviation =
                options.sigma() * Draws.gaussian(options.common().seed(), starts.incrementAndGet());
        call.later(
                options.serviceMs() * Math.exp(deviation),
                () -> call.completeWith(ExpectedAnswers.output(request.stage(), request.input())));
    }

    private HttpReply report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("total", counts.total());
        report.put("byRequest", counts.byRequest());
        report.put("byInput", counts.byInput());
        return HttpReply.json(200, report);
    }

    private HttpReply reset() {
        counts.reset();
        return HttpReply.empty(204);
    }
}
