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

    private final TokenSink next;
    private final long resumedFrom;
    private final AtomicReference<Progress> progress;

    /**
     * Creates an assembler.
     *
     * @param start progress that earlier attempts have already delivered
     * @param next receives the tokens in order
     */
    public StreamAssembler(Progress start, TokenSink next) {
        this.progress = new AtomicReference<>(start);
        this.next = next;
        this.resumedFrom = start.position();
    }

    /**
     * Progress of a stream.
     *
     * @param position position of the next token
     * @param texts texts of all tokens before that position
     * @param buffered tokens that arrived before their predecessors, by position
     * @param duplicates number of duplicate tokens dropped
     */
    public record Progress(
            long position, Vector<String> texts, TreeMap<Long, String> buffered, long duplicates) {

        /** Start of a stream. */
        public static Progress start() {
            return new Progress(0, Vector.empty(), TreeMap.empty(), 0);
        }

        /** Text of all tokens delivered so far. */
        public String text() {
            return texts.mkString();
        }

        /** This progress without the buffered tokens of the failed attempt. */
        public Progress forResumption() {
            return new Progress(position, texts, TreeMap.empty(), duplicates);
        }

        Progress countDuplicate() {
            return new Progress(position, texts, buffered, duplicates + 1);
        }

        Progress buffer(Token token) {
            return new Progress(
                    position, texts, buffered.put(token.position(), token.text()), duplicates);
        }

        Progress deliver(String text) {
            return new Progress(
                    position + 1, texts.append(text), buffered.remove(position), duplicates);
        }
    }

    public Progress progress() {
        return progress.get();
    }

    /** Whether all tokens of a stream of this length have been delivered. */
    public boolean isComplete(long total) {
        return progress.get().position() == total;
    }

    @Override
    public boolean accept(Token token) {
        Progress reached = progress.get();
        if (token.position() < resumedFrom) {
            // The engine restarted the stream instead of resuming it, so its text may differ from
            // the text already delivered.
            return false;
        }
        if (token.position() < reached.position()
                || reached.buffered().containsKey(token.position())) {
            return update(Progress::countDuplicate);
        }
        if (token.position() > reached.position()) {
            return reached.buffered().size() < MAX_BUFFERED_TOKENS
                    && update(current -> current.buffer(token));
        }
        return deliver(token.text()) && deliverBuffered();
    }

    private boolean deliverBuffered() {
        while (true) {
            Progress reached = progress.get();
            String text = reached.buffered().get(reached.position()).getOrNull();
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
        if (!next.accept(token)) {
            return false;
        }
        return update(current -> current.deliver(text));
    }

    private boolean update(UnaryOperator<Progress> change) {
        progress.updateAndGet(change);
        return true;
    }
}
