package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * Source of configuration parts: the store or a peer. Thread-safe; the returned future never
 * completes exceptionally.
 */
@FunctionalInterface
public interface PartSource {

    /**
     * Fetches parts. The result maps digests to the contents of the parts, or is the reason why the
     * fetch failed. Some of the requested parts may be missing from the map.
     */
    CompletionStage<Either<String, Map<String, String>>> fetch(Vector<String> digests);
}
