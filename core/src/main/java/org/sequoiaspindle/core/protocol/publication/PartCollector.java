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
 * from the given source, then parts fetched from the store. A fetched part that does not match its
 * digest is ignored.
 */
final class PartCollector {
    /**
     * Timeout of a fetch from a peer in milliseconds. Propagation of a configuration may spend at
     * most one second on such a fetch.
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
     * Returns the contents of all parts of the head by digest, or the reason why some parts could
     * not be fetched.
     */
    CompletionStage<Either<String, Map<String, String>>> collect(
            ConfigurationHead head, Map<String, String> localParts, PartSource source) {
        Vector<String> digests =
                head.parts().map(ConfigurationHead.PartReference::digest).distinct();
        Map<String, String> matchingLocalParts = localParts.filterKeys(digests.toSet()::contains);
        CompletionStage<Map<String, String>> fromPeer =
                source == storeSource
                        ? CompletableFuture.completedStage(matchingLocalParts)
                        : fetchMissing(digests, matchingLocalParts, source, PEER_FETCH_TIMEOUT_MS);
        return fromPeer.thenCompose(
                        parts -> fetchMissing(digests, parts, storeSource, STORE_FETCH_TIMEOUT_MS))
                .thenApply(parts -> requireAll(digests, parts));
    }

    private CompletionStage<Map<String, String>> fetchMissing(
            Vector<String> digests, Map<String, String> parts, PartSource source, long timeoutMs) {
        Vector<String> missingDigests = digests.reject(parts::containsKey);
        if (missingDigests.isEmpty()) {
            return CompletableFuture.completedStage(parts);
        }
        return timer.withTimeout(
                        source.fetch(missingDigests),
                        timeoutMs,
                        () -> Either.left("no response in time"))
                .thenApply(
                        fetchResult ->
                                parts.merge(withMatchingDigest(missingDigests, fetchResult)));
    }

    private static Map<String, String> withMatchingDigest(
            Vector<String> missingDigests, Either<String, Map<String, String>> fetchResult) {
        return fetchResult
                .getOrElse(HashMap.empty())
                .filter((digest, text) -> Sha256.of(text).equals(digest))
                .filterKeys(missingDigests.toSet()::contains);
    }

    private static Either<String, Map<String, String>> requireAll(
            Vector<String> digests, Map<String, String> parts) {
        Vector<String> missingDigests = digests.reject(parts::containsKey);
        return missingDigests.isEmpty()
                ? Either.right(parts)
                : Either.left("parts are missing or corrupt: " + missingDigests.mkString(", "));
    }
}
