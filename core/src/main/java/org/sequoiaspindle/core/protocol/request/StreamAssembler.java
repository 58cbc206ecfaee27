package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/**
 * Puts the tokens of one attempt in order: each position is passed on exactly once, repeated tokens
 * are dropped, tokens that come early wait for the missing ones. Tokens arrive on one thread at a
 * time; the progress may be read from any thread.
 */
public final class StreamAssembler implements TokenSink {

    private static final int MAX_EARLY = 64;

    private final TokenSink next;
    private final long resumedFrom;
    private final AtomicReference<Progress> progress;

    /**
     * Assembles a stream.
     *
     * @param start what an earlier attempt has passed on already
     * @param next receives the tokens in order
     */
    public StreamAssembler(Progress start, TokenSink next) {
        this.progress = new AtomicReference<>(start);
        this.next = next;
        this.resumedFrom = start.position();
    }

    /**
     * How far a stream has come.
     *
     * @param position position of the next token
     * @param pieces texts of all tokens before it
     * @param early tokens that came too early, by position
     * @param dropped tokens that were dropped as repeated
     */
    public record Progress(
            long position, Vector<String> pieces, TreeMap<Long, String> early, long dropped) {

        /** Start of a stream. */
        public static Progress start() {
            return new Progress(0, Vector.empty(), TreeMap.empty(), 0);
        }

        /** Text of all tokens before the next one. */
        public String text() {
            return pieces.mkString();
        }

        /** The progress without what the failed attempt delivered too early. */
        public Progress forResumption() {
            return new Progress(position, pieces, TreeMap.empty(), dropped);
        }

        Progress drop() {
            return new Progress(position, pieces, early, dropped + 1);
        }

        Progress hold(Token token) {
            return new Progress(
                    position, pieces, early.put(token.position(), token.text()), dropped);
        }

        Progress pass(String passed) {
            return new Progress(
                    position + 1, pieces.append(passed), early.remove(position), dropped);
        }
    }

    public Progress progress() {
        return progress.get();
    }

    /** Whether a stream of that many tokens has been passed on whole. */
    public boolean isWhole(long total) {
        return progress.get().position() == total;
    }

    @Override
    public boolean accept(Token token) {
        Progress now = progress.get();
        if (token.position() < resumedFrom) {
            // The engine started anew instead of resuming; its text may differ from what was sent.
            return false;
        }
        if (token.position() < now.position() || now.early().containsKey(token.position())) {
            return set(Progress::drop);
        }
        if (token.position() > now.position()) {
            return now.early().size() < MAX_EARLY && set(held -> held.hold(token));
        }
        return pass(token.text()) && passEarly();
    }

    private boolean passEarly() {
        while (true) {
            Progress now = progress.get();
            String text = now.early().get(now.position()).getOrNull();
            if (text == null) {
                return true;
            }
            if (!pass(text)) {
                return false;
            }
        }
    }

    private boolean pass(String text) {
        Token token = new Token(progress.get().position(), text);
        if (!next.accept(token)) {
            return false;
        }
        return set(now -> now.pass(text));
    }

    private boolean set(UnaryOperator<Progress> change) {
        progress.updateAndGet(change);
        return true;
    }
}
