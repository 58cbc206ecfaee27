package org.sequoiaspindle.standins.transport;

import java.util.Map;
import org.sequoiaspindle.standins.coordination.ExecutionCounts;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.protocol.ServiceExecution;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.LoadReport;
import org.sequoiaspindle.standins.state.ServiceOptions;

/** Stand-in for a plain service, encoder, retriever or reranker. */
public final class ServiceServer implements EndpointServer {

    private final EndpointHost host;
    private final ServiceExecution execution;

    private ServiceServer(ServiceOptions options) {
        execution = new ServiceExecution(options);
        host = new EndpointHost(options.common(), execution, execution.routes());
    }

    public static ServiceServer start(ServiceOptions options) {
        return new ServiceServer(options);
    }

    /** Output for an input of a stage. */
    public static String expectedOutput(String stage, String input) {
        return ExpectedAnswers.output(stage, input);
    }

    /** Counts of executions by request and by input. */
    public ExecutionCounts executions() {
        return execution.counts();
    }

    @Override
    public String address() {
        return host.address();
    }

    @Override
    public void fault(EndpointFault fault) {
        host.fault(fault);
    }

    @Override
    public void leaving(boolean value) {
        host.leaving(value);
    }

    @Override
    public Map<String, Long> stats() {
        return host.stats();
    }

    @Override
    public LoadReport load() {
        return host.load();
    }

    @Override
    public void close() {
        host.close();
    }
}
