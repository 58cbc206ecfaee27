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

/**
 * Makes one attempt to publish an object set that has passed the checks: writes the parts, then
 * swaps the head in one compare-and-swap.
 */
final class PublicationAttempt {
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETRY_DELAY_MS = 200;

    private final Store store;
    private final Timer timer;
    private final StoreReader reader;
    private final StoreReader readBackReader;
    private final PublishRequest request;
    private final ConfigurationParts parts;
    private final long publishedAtMs;

    PublicationAttempt(
            Store store,
            Timer timer,
            PublishRequest request,
            ConfigurationParts parts,
            long publishedAtMs) {
        this.store = store;
        this.timer = timer;
        this.reader = new StoreReader(store, timer);
        // Reading the head back is retried as a whole. Retries of single reads would only delay the
        // result for the operator.
        this.readBackReader = new StoreReader(store, timer, 1);
        this.request = request;
        this.parts = parts;
        this.publishedAtMs = publishedAtMs;
    }

    CompletionStage<PublishResult> run() {
        return readBaseHead(MAX_ATTEMPTS)
                .thenCompose(read -> read.fold(this::notRun, this::publishOnBaseHead));
    }

    /** Reads the head. A head older than the base generation is a stale read and is retried. */
    private CompletionStage<Either<String, StoredHead>> readBaseHead(int attemptsLeft) {
        return StoredHead.read(reader)
                .thenCompose(
                        read -> {
                            boolean stale =
                                    read.exists(
                                            head -> head.generation() < request.baseGeneration());
                            return stale && attemptsLeft > 1
                                    ? timer.callAfter(
                                            RETRY_DELAY_MS, () -> readBaseHead(attemptsLeft - 1))
                                    : CompletableFuture.completedStage(read);
                        });
    }

    private CompletionStage<PublishResult> publishOnBaseHead(StoredHead baseHead) {
        Option<Long> earlierGeneration =
                baseHead.head()
                        .flatMap(h -> SubmissionHistory.generationOf(h, request.submissionId()));
        if (earlierGeneration.isDefined()) {
            return completed(new PublishResult.Published(earlierGeneration.get()));
        }
        if (baseHead.generation() != request.baseGeneration()) {
            return completed(conflict(baseHead.head()));
        }
        Vector<String> presentDigests =
                baseHead.head()
                        .map(head -> head.parts().map(ConfigurationHead.PartReference::digest))
                        .getOrElse(Vector.empty());
        Vector<Part> missingParts =
                parts.parts().reject(part -> presentDigests.contains(part.reference().digest()));
        return writeParts(missingParts)
                .thenCompose(failure -> failure.fold(() -> writeHead(baseHead), this::notRun));
    }

    /** Writes the parts one after the other. Returns the reason if a part could not be written. */
    private CompletionStage<Option<String>> writeParts(Vector<Part> missingParts) {
        CompletionStage<Option<String>> writes = CompletableFuture.completedStage(Option.none());
        for (Part part : missingParts) {
            writes =
                    writes.thenCompose(
                            failure ->
                                    failure.isDefined()
                                            ? CompletableFuture.completedStage(failure)
                                            : writePart(part, MAX_ATTEMPTS));
        }
        return writes;
    }

    /**
     * Writes one part. A conflict means that the part already exists, because the key of a part
     * contains the digest of the part.
     */
    private CompletionStage<Option<String>> writePart(Part part, int attemptsLeft) {
        StoreCommand command =
                new StoreCommand.CompareAndSwap(
                        ConfigurationKeys.part(part.reference().digest()),
                        StoreCommand.ABSENT,
                        StoreValue.ofString(part.content()));
        return store.execute(command)
                .thenCompose(
                        result -> {
                            if (!(result instanceof StoreResult.Unavailable unavailable)) {
                                return CompletableFuture.completedStage(Option.none());
                            }
                            return attemptsLeft > 1
                                    ? timer.callAfter(
                                            RETRY_DELAY_MS, () -> writePart(part, attemptsLeft - 1))
                                    : CompletableFuture.completedStage(
                                            Option.some(
                                                    "a part could not be written: "
                                                            + unavailable.reason()));
                        });
    }

    private CompletionStage<PublishResult> writeHead(StoredHead baseHead) {
        long generation = baseHead.generation() + 1;
        ConfigurationHead newHead =
                new ConfigurationHead(
                        generation,
                        request.submissionId(),
                        request.operator(),
                        publishedAtMs,
                        SubmissionHistory.extend(
                                baseHead.head(), request.submissionId(), generation),
                        parts.references());
        return swapHead(
                new StoreCommand.CompareAndSwap(
                        ConfigurationKeys.HEAD,
                        baseHead.version(),
                        StoreValue.ofString(HeadWriter.write(newHead))),
                MAX_ATTEMPTS);
    }

    /**
     * Swaps the head. Sending the same swap again is safe, because the expected version in the
     * command allows the swap to take effect only once.
     */
    private CompletionStage<PublishResult> swapHead(StoreCommand swap, int attemptsLeft) {
        return store.execute(swap)
                .thenCompose(
                        result ->
                                result instanceof StoreResult.Swapped
                                        ? completed(
                                                new PublishResult.Published(
                                                        request.baseGeneration() + 1))
                                        : readBack(swap, result, attemptsLeft));
    }

    /**
     * Reads the head back to find out whether the swap took effect. A conflict does not prove that
     * the swap had no effect, because the store may have received the swap twice and reported the
     * conflict for the second delivery.
     */
    private CompletionStage<PublishResult> readBack(
            StoreCommand swap, StoreResult swapResult, int attemptsLeft) {
        return StoredHead.read(readBackReader)
                .thenCompose(
                        read ->
                                read.fold(
                                        reason ->
                                                retryOrUnknown(
                                                        swap, swapResult, attemptsLeft, reason),
                                        stored ->
                                                decide(
                                                        swap,
                                                        swapResult,
                                                        attemptsLeft,
                                                        stored.head())));
    }

    private CompletionStage<PublishResult> decide(
            StoreCommand swap,
            StoreResult swapResult,
            int attemptsLeft,
            Option<ConfigurationHead> head) {
        switch (SubmissionHistory.statusOf(
                head, request.submissionId(), request.baseGeneration())) {
            case PUBLISHED:
                return completed(
                        new PublishResult.Published(
                                SubmissionHistory.generationOf(head.get(), request.submissionId())
                                        .get()));
            case SUPERSEDED:
                return completed(conflict(head));
            case HISTORY_TOO_SHORT:
                return completed(
                        new PublishResult.Unknown(
                                "more than "
                                        + SubmissionHistory.MAX_ENTRIES
                                        + " publications followed the base generation"));
            default:
                return retryOrUnknown(
                        swap,
                        swapResult,
                        attemptsLeft,
                        "the write of the head may still take effect");
        }
    }

    private CompletionStage<PublishResult> retryOrUnknown(
            StoreCommand swap, StoreResult swapResult, int attemptsLeft, String reason) {
        if (attemptsLeft <= 1) {
            return completed(new PublishResult.Unknown(reason));
        }
        return timer.callAfter(
                RETRY_DELAY_MS,
                () ->
                        swapResult instanceof StoreResult.Unavailable
                                ? swapHead(swap, attemptsLeft - 1)
                                : readBack(swap, swapResult, attemptsLeft - 1));
    }

    private CompletionStage<PublishResult> notRun(String reason) {
        return completed(new PublishResult.NotRun(reason));
    }

    private static PublishResult conflict(Option<ConfigurationHead> head) {
        return new PublishResult.Conflict(
                head.map(ConfigurationHead::generation).getOrElse(0L),
                head.map(ConfigurationHead::operator).getOrElse(""),
                head.map(ConfigurationHead::submissionId).getOrElse(""));
    }

    private static CompletionStage<PublishResult> completed(PublishResult result) {
        return CompletableFuture.completedStage(result);
    }
}
