package org.sequoiaspindle.core.protocol.publication;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * A head with the version of the head key in the store.
 *
 * @param head the head, absent if nothing has been published yet
 * @param version version of the key, {@link StoreCommand#ABSENT} if the head is absent
 */
record StoredHead(Option<ConfigurationHead> head, long version) {
    /** Returns the generation of the head, or 0 if the head is absent. */
    long generation() {
        return head.map(ConfigurationHead::generation).getOrElse(0L);
    }

    static CompletionStage<Either<String, StoredHead>> read(StoreReader reader) {
        return reader.read(ConfigurationKeys.HEAD).thenApply(StoredHead::from);
    }

    /**
     * Converts the result of a read, or returns the reason why the result contains no valid head.
     */
    static Either<String, StoredHead> from(StoreResult result) {
        if (result instanceof StoreResult.Found found) {
            return HeadReader.read(found.value().text())
                    .map(head -> new StoredHead(Option.some(head), found.version()));
        }
        if (result instanceof StoreResult.Missing) {
            return Either.right(new StoredHead(Option.none(), StoreCommand.ABSENT));
        }
        return Either.left("the head could not be read: " + result);
    }
}
