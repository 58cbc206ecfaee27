package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.protocol.EngineExecutor;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.SlotUsage;

/** Stand-in for a streaming model engine with continuous batching. */
public final class EngineServer implements EndpointServer {

    private final EndpointHttpServer server;

    private EngineServer(EngineOptions options) {
        server =
                new EndpointHttpServer(
                        options.endpointOptions(), new EngineExecutor(options), List.of());
    }

    public static EngineServer start(EngineOptions options) {
        return new EngineServer(options);
    }

    /** Returns the expected text of the token at a position of the answer, counted from 0. */
    public static String expectedToken(String input, long position) {
        return ExpectedAnswers.token(ExpectedAnswers.digest(input), position);
    }

    /** Returns the expected text of the whole answer. */
    public static String expectedAnswer(String input, long maxTokens) {
        return ExpectedAnswers.answer(input, maxTokens);
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
