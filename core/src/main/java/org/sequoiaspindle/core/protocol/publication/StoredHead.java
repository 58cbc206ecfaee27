package org.sequoiaspindle.core.protocol.publication;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * The head as read from the store.
 *
 * @param head absent if nothing was ever published
 * @param version version of its key, {@link StoreCommand#ABSENT} if absent
 */
record StoredHead(Option<Head> head, long version) {
    /** Generation, 0 if absent. */
    long generation() {
        return head.map(Head::generation).getOrElse(0L);
    }

    static CompletionStage<Either<String, StoredHead>> read(StoreReader reader) {
        return reader.read(ConfigurationKeys.HEAD).thenApply(StoredHead::from);
    }

    /** Head of a result, or the reason why the result holds none. */
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
