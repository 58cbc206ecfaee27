package org.sequoiaspindle.core.protocol.publication;

import java.util.concurrent.CompletionStage;

/** Publishes object sets. Thread-safe; the returned future never completes exceptionally. */
@FunctionalInterface
public interface Publisher {

    CompletionStage<PublishResult> publish(PublishRequest request);
}
