package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;

/**
 * Collects the parts of a head: first the parts that this instance already has, then parts fetched
 * from the given source, then parts fetched from the store. A fetched text that does not match its
 * digest is ignored.
 */
final class PartCollector {
    /**
     * Timeout of a fetch from a peer in milliseconds. Propagation of a configuration may spend at
     * most one second on it.
     */
    static final long PEER_FETCH_TIMEOUT_MS = 1_000;

    /** Timeout of a fetch from the store in milliseconds. Long enough for one retry of a read. */
    static final long STORE_FETCH_TIMEOUT_MS = 5_000;

    private final PartSource storeSource;
    private final Timer timer;

    PartCollector(PartSource storeSource, Timer timer) {
        this.storeSource = storeSource;
        this.timer = timer;
    }

    PartSource storeSource() {
        return storeSource;
    }

    /**
     * Texts of all parts of the head by digest, or the reason why some parts could not be fetched.
     */
    CompletionStage<Either<String, Map<String, String>>> collect(
            ConfigurationHead head, Map<String, String> available, PartSource source) {
        Vector<String> wanted =
                head.parts().map(ConfigurationHead.PartReference::digest).distinct();
        Map<String, String> known = available.filterKeys(wanted.toSet()::contains);
        CompletionStage<Map<String, String>> fromPeer =
                source == storeSource
                        ? CompletableFuture.completedStage(known)
                        : fetchMissing(wanted, known, source, PEER_FETCH_TIMEOUT_MS);
        return fromPeer.thenCompose(
                        texts -> fetchMissing(wanted, texts, storeSource, STORE_FETCH_TIMEOUT_MS))
                .thenApply(texts -> requireAll(wanted, texts));
    }

    private CompletionStage<Map<String, String>> fetchMissing(
            Vector<String> wanted, Map<String, String> known, PartSource source, long timeoutMs) {
        Vector<String> missing = wanted.reject(known::containsKey);
        if (missing.isEmpty()) {
            return CompletableFuture.completedStage(known);
        }
        return timer.withTimeout(
                        source.fetch(missing), timeoutMs, () -> Either.left("no answer in time"))
                .thenApply(fetched -> known.merge(withMatchingDigest(missing, fetched)));
    }

    private static Map<String, String> withMatchingDigest(
            Vector<String> missing, Either<String, Map<String, String>> fetched) {
        return fetched.getOrElse(HashMap.empty())
                .filter((digest, text) -> Sha256.of(text).equals(digest))
                .filterKeys(missing.toSet()::contains);
    }

    private static Either<String, Map<String, String>> requireAll(
            Vector<String> wanted, Map<String, String> texts) {
        Vector<String> missing = wanted.reject(texts::containsKey);
        return missing.isEmpty()
                ? Either.right(texts)
                : Either.left("parts are missing or damaged: " + missing.mkString(", "));
    }
}
