package org.sequoiaspindle.core.protocol.forwarding;

import java.util.Collection;
import org.sequoiaspindle.core.protocol.store.StoreChange;

/** Local copy of the keys under one prefix of the store. Implementations are thread-safe. */
public interface PrefixView {

    String prefix();

    /**
     * Applies a complete listing.
     *
     * @param revision revision that the listing contains at least
     */
    void replaceAll(Collection<StoreChange.Written> items, long revision);

    /** Applies a change of a key under the prefix. */
    void apply(StoreChange change);
}
