package org.sequoiaspindle.core.fake;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.RequestId;

/**
 * Simulated endpoints with random faults: they delay, repeat, reorder and truncate answers, answer
 * for other requests, refuse calls, and lose answers after execution. The faults are determined by
 * the seed. Counts executions by request.
 */
public final class FaultyEndpoints implements EndpointCaller {

    /** Number of tokens in each streamed answer. */
    public static final int TOKENS = 5;

    private final VirtualTime time;
    private final Random random;
    private final int faultPercent;
    private final Map<String, Integer> executions = new HashMap<>();
    private final List<EndpointCall> calls = new ArrayList<>();

    public FaultyEndpoints(VirtualTime time, long seed, int faultPercent) {
        this.time = time;
        this.random = new Random(seed);
        this.faultPercent = faultPercent;
    }

    /** Returns the answer to an input. Different inputs result in different answers. */
    public static String answerTo(String stage, String input) {
        return Vector.range(0, TOKENS)
                .map(position -> tokenText(stage, input, position))
                .mkString();
    }

    /** Returns how often a call of the request has been executed. */
    public int executions(RequestId request) {
        return executions.getOrDefault(request.value(), 0);
    }

    public List<EndpointCall> calls() {
        return calls;
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        calls.add(call);
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        int fault = random.nextInt(100) < faultPercent ? random.nextInt(6) : -1;
        int delay = 1 + random.nextInt(40);
        switch (fault) {
            case 0 -> completeLater(delay, result, new CallResult.NotSent("connection refused"));
            case 1 -> completeLater(delay, result, new CallResult.Refused("full", Option.none()));
            case 2 -> execute(call, sink, result, delay, Fault.WRONG_ID);
            case 3 -> execute(call, sink, result, delay, Fault.TRUNCATED);
            case 4 -> execute(call, sink, result, delay, Fault.REORDERED);
            case 5 -> execute(call, sink, result, delay, Fault.REPEATED);
            default -> execute(call, sink, result, delay, Fault.NONE);
        }
        return new EndpointExchange(
                result, () -> result.complete(new CallResult.Unknown("cancelled")));
    }

    private enum Fault {
        NONE,
        WRONG_ID,
        TRUNCATED,
        REORDERED,
        REPEATED
    }

    private void execute(
            EndpointCall call,
            TokenSink sink,
            CompletableFuture<CallResult> result,
            int delay,
            Fault fault) {
        executions.merge(call.requestId().value(), 1, Integer::sum);
        List<Token> tokens = new ArrayList<>();
        for (long position = call.resumeFrom(); position < TOKENS; position++) {
            tokens.add(new Token(position, tokenText(call.stage(), call.input(), position)));
        }
        if (fault == Fault.REORDERED && tokens.size() > 1) {
            tokens.add(0, tokens.remove(1));
        }
        if (fault == Fault.REPEATED && !tokens.isEmpty()) {
            tokens.add(tokens.get(0));
        }
        int sent = fault == Fault.TRUNCATED ? tokens.size() / 2 : tokens.size();
        for (int index = 0; index < sent && call.streams(); index++) {
            Token token = tokens.get(index);
            time.schedule(
                    delay + index,
                    () -> {
                        if (!result.isDone() && !sink.accept(token)) {
                            result.complete(new CallResult.Unknown("cancelled by the receiver"));
                        }
                    });
        }
        completeLater(delay + TOKENS + 1, result, resultOf(call, fault));
    }

    private static CallResult resultOf(EndpointCall call, Fault fault) {
        if (fault == Fault.TRUNCATED) {
            return new CallResult.Unknown("connection closed");
        }
        RequestId id = fault == Fault.WRONG_ID ? new RequestId("another") : call.requestId();
        String answeredInput = fault == Fault.WRONG_ID ? "another request" : call.input();
        String output = call.streams() ? "" : answerTo(call.stage(), answeredInput);
        return new CallResult.Completed(id, call.attempt(), output, TOKENS, Option.none());
    }

    private void completeLater(int delay, CompletableFuture<CallResult> result, CallResult value) {
        time.schedule(delay, () -> result.complete(value));
    }

    private static String tokenText(String stage, String input, long position) {
        return "<" + stage + ":" + input.hashCode() + ":" + position + ">";
    }
}
