package org.sequoiaspindle.core.protocol.relay;

import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/** Message between an instance that reads the store and an instance that reads through it. */
public sealed interface RelayMessage {

    /** Returns the identifier of the query on its connection. */
    long number();

    /** Asks for the execution of a command that only reads. */
    record Query(long number, StoreCommand command) implements RelayMessage {}

    /** Result of a query. */
    record Reply(long number, StoreResult result) implements RelayMessage {}
}
