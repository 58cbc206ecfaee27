package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * The platform's list of instances and endpoints, which lags behind the truth. Thread-safe; the
 * stage never completes exceptionally.
 */
@FunctionalInterface
public interface InstanceList {

    /** Current list, or the reason why it could not be had. */
    CompletionStage<Either<String, Vector<ListedInstance>>> fetch();
}
