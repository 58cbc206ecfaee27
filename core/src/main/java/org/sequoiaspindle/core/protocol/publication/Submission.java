package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.publication.ConfigurationParts.Part;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/** One attempt to publish a checked set: parts first, then one compare-and-swap on the head. */
final class Submission {
    private static final int ATTEMPTS = 4;
    private static final long RETRY_DELAY_MS = 200;

    private final Store store;
    private final Timer timer;
    private final StoreReader reader;
    private final StoreReader settlingReader;
    private final PublishRequest request;
    private final ConfigurationParts parts;
    private final long publishedAtMs;

    Submission(
            Store store,
            Timer timer,
            PublishRequest request,
            ConfigurationParts parts,
            long publishedAtMs) {
        this.store = store;
        this.timer = timer;
        this.reader = new StoreReader(store, timer);
        // Settling repeats by itself; repeated reads within would keep the operator waiting longer.
        this.settlingReader = new StoreReader(store, timer, 1);
        this.request = request;
        this.parts = parts;
        this.publishedAtMs = publishedAtMs;
    }

    CompletionStage<PublishResult> run() {
        return readBase(ATTEMPTS).thenCompose(read -> read.fold(this::notRun, this::onBase));
    }

    /** A head older than the operator's base is a stale read and is read again. */
    private CompletionStage<Either<String, StoredHead>> readBase(int left) {
        return StoredHead.read(reader)
                .thenCompose(
                        read -> {
                            boolean stale =
                                    read.exists(
                                            head -> head.generation() < request.baseGeneration());
                            return stale && left > 1
                                    ? timer.later(RETRY_DELAY_MS, () -> readBase(left - 1))
                                    : CompletableFuture.completedStage(read);
                        });
    }

    private CompletionStage<PublishResult> onBase(StoredHead base) {
        Option<Long> earlier =
                base.head().flatMap(h -> HeadHistory.generationOf(h, request.submissionId()));
        if (earlier.isDefined()) {
            return done(new PublishResult.Published(earlier.get()));
        }
        if (base.generation() != request.baseGeneration()) {
            return done(conflict(base.head()));
        }
        Vector<String> present =
                base.head()
                        .map(head -> head.parts().map(Head.PartReference::digest))
                        .getOrElse(Vector.empty());
        Vector<Part> missing =
                parts.parts().reject(part -> present.contains(part.reference().digest()));
        return writeParts(missing)
                .thenCompose(failure -> failure.fold(() -> writeHead(base), this::notRun));
    }

    /** Writes the parts one after the other; gives the reason if one could not be written. */
    private CompletionStage<Option<String>> writeParts(Vector<Part> missing) {
        CompletionStage<Option<String>> written = CompletableFuture.completedStage(Option.none());
        for (Part part : missing) {
            written =
                    written.thenCompose(
                            failure ->
                                    failure.isDefined()
                                            ? CompletableFuture.completedStage(failure)
                                            : writePart(part, ATTEMPTS));
        }
        return written;
    }

    /** A conflict means that the part exists, as its key is the digest of its text. */
    private CompletionStage<Option<String>> writePart(Part part, int left) {
        StoreCommand command =
                new StoreCommand.CompareAndSwap(
                        ConfigurationKeys.part(part.reference().digest()),
                        StoreCommand.ABSENT,
                        StoreValue.ofText(part.text()));
        return store.execute(command)
                .thenCompose(
                        result -> {
                            if (!(result instanceof StoreResult.Unavailable unavailable)) {
                                return CompletableFuture.completedStage(Option.none());
                            }
                            return left > 1
                                    ? timer.later(RETRY_DELAY_MS, () -> writePart(part, left - 1))
                                    : CompletableFuture.completedStage(
                                            Option.some(
                                                    "a part could not be written: "
                                                            + unavailable.reason()));
                        });
    }

    private CompletionStage<PublishResult> writeHead(StoredHead base) {
        long generation = base.generation() + 1;
        Head next =
                new Head(
                        generation,
                        request.submissionId(),
                        request.operator(),
                        publishedAtMs,
                        HeadHistory.extend(base.head(), request.submissionId(), generation),
                        parts.references());
        return swapHead(
                new StoreCommand.CompareAndSwap(
                        ConfigurationKeys.HEAD,
                        base.version(),
                        StoreValue.ofText(HeadWriter.write(next))),
                ATTEMPTS);
    }

    /** The same swap may be sent again: its version admits at most one effect. */
    private CompletionStage<PublishResult> swapHead(StoreCommand swap, int left) {
        return store.execute(swap)
                .thenCompose(
                        result ->
                                result instanceof StoreResult.Swapped
                                        ? done(
                                                new PublishResult.Published(
                                                        request.baseGeneration() + 1))
                                        : settle(swap, result, left));
    }

    /**
     * Reads the head back. A conflict alone does not prove that the swap had no effect, as it may
     * answer a second delivery of the same swap.
     */
    private CompletionStage<PublishResult> settle(
            StoreCommand swap, StoreResult swapped, int left) {
        return StoredHead.read(settlingReader)
                .thenCompose(
                        read ->
                                read.fold(
                                        reason -> unsettled(swap, swapped, left, reason),
                                        stored -> settle(swap, swapped, left, stored.head())));
    }

    private CompletionStage<PublishResult> settle(
            StoreCommand swap, StoreResult swapped, int left, Option<Head> head) {
        switch (HeadHistory.standing(head, request.submissionId(), request.baseGeneration())) {
            case PUBLISHED:
                return done(
                        new PublishResult.Published(
                                HeadHistory.generationOf(head.get(), request.submissionId())
                                        .get()));
            case OUTRUN:
                return done(conflict(head));
            case FORGOTTEN:
                return done(
                        new PublishResult.Unknown(
                                "more than "
                                        + HeadHistory.LENGTH
                                        + " publications followed the base generation"));
            default:
                return unsettled(swap, swapped, left, "the head write is still open");
        }
    }

    private CompletionStage<PublishResult> unsettled(
            StoreCommand swap, StoreResult swapped, int left, String reason) {
        if (left <= 1) {
            return done(new PublishResult.Unknown(reason));
        }
        return timer.later(
                RETRY_DELAY_MS,
                () ->
                        swapped instanceof StoreResult.Unavailable
                                ? swapHead(swap, left - 1)
                                : settle(swap, swapped, left - 1));
    }

    private CompletionStage<PublishResult> notRun(String reason) {
        return done(new PublishResult.NotRun(reason));
    }

    private static PublishResult conflict(Option<Head> head) {
        return new PublishResult.Conflict(
                head.map(Head::generation).getOrElse(0L),
                head.map(Head::operator).getOrElse(""),
                head.map(Head::submissionId).getOrElse(""));
    }

    private static CompletionStage<PublishResult> done(PublishResult result) {
        return CompletableFuture.completedStage(result);
    }
}
