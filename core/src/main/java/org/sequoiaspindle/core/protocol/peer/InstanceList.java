package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * The list of instances and endpoints kept by the platform, which may be out of date. Thread-safe;
 * the returned future never completes exceptionally.
 */
@FunctionalInterface
public interface InstanceList {

    /** Fetches the current list, or returns the reason why the list could not be fetched. */
    CompletionStage<Either<String, Vector<InstanceListEntry>>> fetch();
}
