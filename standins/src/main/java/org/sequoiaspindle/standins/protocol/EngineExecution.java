package org.sequoiaspindle.standins.protocol;

import org.sequoiaspindle.standins.coordination.PrefixCache;
import org.sequoiaspindle.standins.state.EngineOptions;

/** Execution of a streaming model engine: prefill of the prompt, then one token after the other. */
public final class EngineExecution implements Execution {

    private static final double CHARS_PER_K_TOKEN = 4_000;

    private final EngineOptions options;
    private final PrefixCache cache;

    public EngineExecution(EngineOptions options) {
        this.options = options;
        cache = new PrefixCache(options.cacheBlocks());
    }

    @Override
    public void start(ActiveCall call) {
        String prompt = call.request().input() + call.request().resumeText();
        int freshChars = prompt.length() - cache.admit(prompt);
        TokenRun run = new TokenRun(call, options);
        call.later(
                options.prefillMsPerKToken() * freshChars / CHARS_PER_K_TOKEN, () -> run.send(0));
    }
}
