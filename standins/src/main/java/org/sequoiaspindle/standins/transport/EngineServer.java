package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.protocol.EngineExecution;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.LoadReport;

/** Stand-in for a streaming model engine that batches continuously. */
public final class EngineServer implements EndpointServer {

    private final EndpointHost host;

    private EngineServer(EngineOptions options) {
        host = new EndpointHost(options.common(), new EngineExecution(options), List.of());
    }

    public static EngineServer start(EngineOptions options) {
        return new EngineServer(options);
    }

    /** Text of the token at a position of the answer, counted from 0. */
    public static String expectedToken(String input, long position) {
        return ExpectedAnswers.token(ExpectedAnswers.digest(input), position);
    }

    /** Text of the whole answer. */
    public static String expectedAnswer(String input, long maxTokens) {
        return ExpectedAnswers.answer(input, maxTokens);
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
