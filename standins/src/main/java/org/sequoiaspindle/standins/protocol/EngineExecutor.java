package org.sequoiaspindle.standins.protocol;

import org.sequoiaspindle.standins.coordination.PrefixCache;
import org.sequoiaspindle.standins.state.EngineOptions;

/** Simulates a streaming model engine: prefill of the prompt, then the tokens in order. */
public final class EngineExecutor implements StageExecutor {

    private static final double CHARS_PER_1000_TOKENS = 4_000;

    private final EngineOptions options;
    private final PrefixCache cache;

    public EngineExecutor(EngineOptions options) {
        this.options = options;
        cache = new PrefixCache(options.cacheBlocks());
    }

    @Override
    public void start(ActiveCall call) {
        String prompt = call.request().input() + call.request().resumeText();
        int uncachedChars = prompt.length() - cache.lookUpAndInsert(prompt);
        TokenGenerator generator = new TokenGenerator(call, options);
        call.scheduleStep(
                options.prefillMsPerKToken() * uncachedChars / CHARS_PER_1000_TOKENS,
                () -> generator.sendFrom(0));
    }
}
