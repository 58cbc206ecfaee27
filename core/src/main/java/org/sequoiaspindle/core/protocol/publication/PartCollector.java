package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;

/**
 * Gathers the parts of a head: those held already, then those of the given source, then those of
 * the store. A text that does not match its digest counts as not fetched.
 */
final class PartCollector {
    /** Limit of a fetch from a peer in milliseconds; the propagation budget allows one second. */
    static final long PEER_FETCH_LIMIT_MS = 1_000;

    /** Limit of a fetch from the store in milliseconds; covers one repeated read. */
    static final long STORE_FETCH_LIMIT_MS = 5_000;

    private final PartSource storeSource;
    private final Timer timer;

    PartCollector(PartSource storeSource, Timer timer) {
        this.storeSource = storeSource;
        this.timer = timer;
    }

    PartSource storeSource() {
        return storeSource;
    }

    /** Texts of all parts of the head by digest, or the reason why some could not be had. */
    CompletionStage<Either<String, Map<String, String>>> collect(
            Head head, Map<String, String> held, PartSource source) {
        Vector<String> wanted = head.parts().map(Head.PartReference::digest).distinct();
        Map<String, String> known = held.filterKeys(wanted.toSet()::contains);
        CompletionStage<Map<String, String>> fromPeer =
                source == storeSource
                        ? CompletableFuture.completedStage(known)
                        : extend(wanted, known, source, PEER_FETCH_LIMIT_MS);
        return fromPeer.thenCompose(
                        texts -> extend(wanted, texts, storeSource, STORE_FETCH_LIMIT_MS))
                .thenApply(texts -> complete(wanted, texts));
    }

    private CompletionStage<Map<String, String>> extend(
            Vector<String> wanted, Map<String, String> known, PartSource source, long limitMs) {
        Vector<String> missing = wanted.reject(known::containsKey);
        if (missing.isEmpty()) {
            return CompletableFuture.completedStage(known);
        }
        return timer.limit(source.fetch(missing), limitMs, () -> Either.left("no answer in time"))
                .thenApply(fetched -> known.merge(verified(missing, fetched)));
    }

    private static Map<String, String> verified(
            Vector<String> missing, Either<String, Map<String, String>> fetched) {
        return fetched.getOrElse(HashMap.empty())
                .filter((digest, text) -> Sha256.of(text).equals(digest))
                .filterKeys(missing.toSet()::contains);
    }

    private static Either<String, Map<String, String>> complete(
            Vector<String> wanted, Map<String, String> texts) {
        Vector<String> missing = wanted.reject(texts::containsKey);
        return missing.isEmpty()
                ? Either.right(texts)
                : Either.left("parts are missing or damaged: " + missing.mkString(", "));
    }
}
