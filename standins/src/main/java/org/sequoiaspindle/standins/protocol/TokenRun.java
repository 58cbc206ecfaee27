package org.sequoiaspindle.standins.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;
import org.sequoiaspindle.standins.state.EngineOptions;

/** Tokens of one call of an engine, from the position where it resumes. */
final class TokenRun {

    private final ActiveCall call;
    private final EngineOptions options;
    private final long digest;
    private final long first;
    private final long count;
    private final boolean streams;

    TokenRun(ActiveCall call, EngineOptions options) {
        this.call = call;
        this.options = options;
        ExecuteCall request = call.request();
        digest = ExpectedAnswers.digest(request.input());
        first = request.resumeFrom();
        count = Math.max(0, request.maxTokens() - first);
        streams =
                request.streams()
                        && call.mode() != Mode.ERROR
                        && call.mode() != Mode.CLOSE_BEFORE_ANSWER;
    }

    /** Sends the token with this index, counted from the first one, and goes on to the next. */
    void send(long index) {
        if (streams && index == 0) {
            call.exchange().openStream();
        }
        if (streams && call.mode() == Mode.CUT && index == count / 2) {
            call.complete(call.exchange()::disconnect);
            return;
        }
        if (streams && index < count) {
            sendEvent(index);
        }
        if (index + 1 >= count) {
            end();
            return;
        }
        double gapMs = options.tokenMs() * (1 + options.tokenGrowth() * (call.runningCalls() - 1));
        call.later(gapMs, () -> send(index + 1));
    }

    private void sendEvent(long index) {
        long position = first + (call.mode() == Mode.REORDER ? swapped(index) : index);
        Map<String, Object> token = new LinkedHashMap<>();
        token.put("position", position);
        token.put("text", ExpectedAnswers.token(digest, position));
        String data = Json.write(token);
        call.exchange().event("token", data);
        if (call.mode() == Mode.DUPLICATE) {
            call.exchange().event("token", data);
        }
    }

    private long swapped(long index) {
        long upper = count / 2;
        if (count < 2 || index < upper - 1 || index > upper) {
            return index;
        }
        return index == upper ? upper - 1 : upper;
    }

    private void end() {
        if (!streams) {
            call.completeWith(
                    ExpectedAnswers.answer(call.request().input(), call.request().maxTokens()));
            return;
        }
        call.complete(
                () -> {
                    call.exchange().event("end", Json.write(call.echo("tokens", first + count)));
                    call.exchange().closeStream();
                });
    }
}
