package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * The list of instances and endpoints kept by the platform, which may be out of date. Thread-safe;
 * the returned stage never completes exceptionally.
 */
@FunctionalInterface
public interface InstanceList {

    /** Fetches the current list, or the reason why it could not be fetched. */
    CompletionStage<Either<String, Vector<InstanceListEntry>>> fetch();
}
