package org.sequoiaspindle.standins.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;
import org.sequoiaspindle.standins.state.EngineOptions;

/** Generates the tokens of one engine call, beginning at the position where the call resumes. */
final class TokenGenerator {

    private final ActiveCall call;
    private final EngineOptions options;
    private final long digest;
    private final long firstPosition;
    private final long tokenCount;
    private final boolean streams;

    TokenGenerator(ActiveCall call, EngineOptions options) {
        this.call = call;
        this.options = options;
        ExecuteRequest request = call.request();
        digest = ExpectedAnswers.digest(request.input());
        firstPosition = request.resumeFrom();
        tokenCount = Math.max(0, request.maxTokens() - firstPosition);
        streams =
                request.streams()
                        && call.mode() != Mode.ERROR
                        && call.mode() != Mode.CLOSE_BEFORE_ANSWER;
    }

    /**
     * Sends the token with the given index, counted from the first token of this call, and
     * schedules the next token.
     */
    void sendFrom(long index) {
        if (streams && index == 0) {
            call.responder().startStream();
        }
        if (streams && call.mode() == Mode.CUT && index == tokenCount / 2) {
            call.complete(call.responder()::disconnect);
            return;
        }
        if (streams && index < tokenCount) {
            sendToken(index);
        }
        if (index + 1 >= tokenCount) {
            finish();
            return;
        }
        double gapMs = options.tokenMs() * (1 + options.tokenGrowth() * (call.runningCalls() - 1));
        call.scheduleStep(gapMs, () -> sendFrom(index + 1));
    }

    private void sendToken(long index) {
        long position = firstPosition + (call.mode() == Mode.REORDER ? swappedIndex(index) : index);
        Map<String, Object> token = new LinkedHashMap<>();
        token.put("position", position);
        token.put("text", ExpectedAnswers.token(digest, position));
        String data = StandinJson.write(token);
        call.responder().sendEvent("token", data);
        if (call.mode() == Mode.DUPLICATE) {
            call.responder().sendEvent("token", data);
        }
    }

    /** Returns the index of the token to send in mode {@code REORDER}. */
    private long swappedIndex(long index) {
        long upperIndex = tokenCount / 2;
        if (tokenCount < 2 || index < upperIndex - 1 || index > upperIndex) {
            return index;
        }
        return index == upperIndex ? upperIndex - 1 : upperIndex;
    }

    private void finish() {
        if (!streams) {
            call.completeWithOutput(
                    ExpectedAnswers.answer(call.request().input(), call.request().maxTokens()));
            return;
        }
        call.complete(
                () -> {
                    call.responder()
                            .sendEvent(
                                    "end",
                                    StandinJson.write(
                                            call.responseFields(
                                                    "tokens", firstPosition + tokenCount)));
                    call.responder().endStream();
                });
    }
}
