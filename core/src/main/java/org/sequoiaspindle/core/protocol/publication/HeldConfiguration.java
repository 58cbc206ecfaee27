package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The configuration in force with its parts, as served to peers.
 *
 * @param head its head, absent before the first adoption
 * @param parts texts of its parts by digest
 */
public record HeldConfiguration(Option<Head> head, Map<String, String> parts) {

    /** Held before the first adoption. */
    public static HeldConfiguration none() {
        return new HeldConfiguration(Option.none(), HashMap.empty());
    }

    /** The held ones among the wanted parts. */
    public Map<String, String> select(Vector<String> digests) {
        return parts.filterKeys(digests.toSet()::contains);
    }
}
