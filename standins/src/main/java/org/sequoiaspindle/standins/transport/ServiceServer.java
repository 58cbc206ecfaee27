package org.sequoiaspindle.standins.transport;

import java.util.Map;
import org.sequoiaspindle.standins.coordination.ExecutionCounts;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.protocol.ServiceExecutor;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.state.SlotUsage;

/** Stand-in for a service, encoder, retriever or reranker. */
public final class ServiceServer implements EndpointServer {

    private final EndpointHttpServer server;
    private final ServiceExecutor executor;

    private ServiceServer(ServiceOptions options) {
        executor = new ServiceExecutor(options);
        server = new EndpointHttpServer(options.endpointOptions(), executor, executor.routes());
    }

    public static ServiceServer start(ServiceOptions options) {
        return new ServiceServer(options);
    }

    /** Returns the expected output of a stage for an input. */
    public static String expectedOutput(String stage, String input) {
        return ExpectedAnswers.output(stage, input);
    }

    /** Returns the counts of executions by request and by input. */
    public ExecutionCounts executionCounts() {
        return executor.counts();
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public void setFault(EndpointFault fault) {
        server.setFault(fault);
    }

    @Override
    public void setLeaving(boolean value) {
        server.setLeaving(value);
    }

    @Override
    public Map<String, Long> counters() {
        return server.counters();
    }

    @Override
    public SlotUsage load() {
        return server.load();
    }

    @Override
    public void close() {
        server.close();
    }
}
