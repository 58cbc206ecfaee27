package org.sequoiaspindle.core.protocol.publication;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/** Fetches parts from the store, with one read for each part. */
public final class StorePartSource implements PartSource {
    private final StoreReader reader;

    public StorePartSource(Store store, Timer timer) {
        this.reader = new StoreReader(store, timer);
    }

    @Override
    public CompletionStage<Either<String, Map<String, String>>> fetch(Vector<String> digests) {
        CompletionStage<Map<String, String>> fetchedParts =
                CompletableFuture.completedStage(HashMap.empty());
        for (String digest : digests) {
            fetchedParts =
                    fetchedParts.thenCombine(
                            read(digest),
                            (contentsByDigest, text) ->
                                    text.map(contentsByDigest::put).getOrElse(contentsByDigest));
        }
        return fetchedParts.thenApply(
                contentsByDigest ->
                        contentsByDigest.isEmpty() && !digests.isEmpty()
                                ? Either.left("the store returned none of the parts")
                                : Either.right(contentsByDigest));
    }

    private CompletionStage<Option<Tuple2<String, String>>> read(String digest) {
        return reader.read(ConfigurationKeys.part(digest))
                .thenApply(
                        result ->
                                result instanceof StoreResult.Found found
                                        ? Option.some(Tuple.of(digest, found.value().text()))
                                        : Option.none());
    }
}
