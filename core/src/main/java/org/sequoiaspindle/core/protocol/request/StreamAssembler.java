package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/**
 * Reorders the tokens of one attempt: delivers each position exactly once, drops duplicates and
 * buffers tokens that arrive before their predecessors. Tokens arrive on one thread at a time; the
 * progress may be read from any thread.
 */
public final class StreamAssembler implements TokenSink {

    private static final int MAX_BUFFERED_TOKENS = 64;

    private final TokenSink sink;
    private final long startPosition;
    private final AtomicReference<Progress> progress;

    /**
     * Creates an assembler.
     *
     * @param start progress that earlier attempts have already delivered
     * @param sink receives the tokens in order
     */
    public StreamAssembler(Progress start, TokenSink sink) {
        this.progress = new AtomicReference<>(start);
        this.sink = sink;
        this.startPosition = start.position();
    }

    /**
     * Progress of a stream.
     *
     * @param position position of the next token
     * @param tokenTexts texts of all tokens before that position
     * @param bufferedTokens tokens that arrived before their predecessors, by position
     * @param duplicateCount number of duplicate tokens dropped
     */
    public record Progress(
            long position,
            Vector<String> tokenTexts,
            TreeMap<Long, String> bufferedTokens,
            long duplicateCount) {

        /** Returns the progress at the start of a stream. */
        public static Progress start() {
            return new Progress(0, Vector.empty(), TreeMap.empty(), 0);
        }

        /** Returns the concatenated text of all tokens delivered so far. */
        public String text() {
            return tokenTexts.mkString();
        }

        /**
         * Returns this progress without the buffered tokens, for resuming the stream after a failed
         * attempt.
         */
        public Progress forResumption() {
            return new Progress(position, tokenTexts, TreeMap.empty(), duplicateCount);
        }

        Progress countDuplicate() {
            return new Progress(position, tokenTexts, bufferedTokens, duplicateCount + 1);
        }

        Progress buffer(Token token) {
            return new Progress(
                    position,
                    tokenTexts,
                    bufferedTokens.put(token.position(), token.text()),
                    duplicateCount);
        }

        Progress deliver(String text) {
            return new Progress(
                    position + 1,
                    tokenTexts.append(text),
                    bufferedTokens.remove(position),
                    duplicateCount);
        }
    }

    public Progress progress() {
        return progress.get();
    }

    /**
     * Returns true if all tokens of a stream with {@code tokenCount} tokens have been delivered.
     */
    public boolean isComplete(long tokenCount) {
        return progress.get().position() == tokenCount;
    }

    @Override
    public boolean accept(Token token) {
        Progress currentProgress = progress.get();
        if (token.position() < startPosition) {
            // The engine restarted the stream instead of resuming the stream, so the new text may
            // differ from the text already delivered.
            return false;
        }
        if (token.position() < currentProgress.position()
                || currentProgress.bufferedTokens().containsKey(token.position())) {
            return update(Progress::countDuplicate);
        }
        if (token.position() > currentProgress.position()) {
            return currentProgress.bufferedTokens().size() < MAX_BUFFERED_TOKENS
                    && update(current -> current.buffer(token));
        }
        return deliver(token.text()) && deliverBuffered();
    }

    private boolean deliverBuffered() {
        while (true) {
            Progress currentProgress = progress.get();
            String text =
                    currentProgress.bufferedTokens().get(currentProgress.position()).getOrNull();
            if (text == null) {
                return true;
            }
            if (!deliver(text)) {
                return false;
            }
        }
    }

    private boolean deliver(String text) {
        Token token = new Token(progress.get().position(), text);
        if (!sink.accept(token)) {
            return false;
        }
        return update(current -> current.deliver(text));
    }

    private boolean update(UnaryOperator<Progress> change) {
        progress.updateAndGet(change);
        return true;
    }
}
