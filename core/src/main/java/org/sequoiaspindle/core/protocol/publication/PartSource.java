package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * Where missing parts are fetched from: the store or a peer. Thread-safe; the stage never completes
 * exceptionally.
 */
@FunctionalInterface
public interface PartSource {

    /** Texts of the parts by digest, or the reason why they could not be had. */
    CompletionStage<Either<String, Map<String, String>>> fetch(Vector<String> digests);
}
