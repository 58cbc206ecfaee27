package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The active configuration of this instance with the parts that peers can fetch.
 *
 * @param head head of the configuration, absent before the first adoption
 * @param parts contents of the parts by digest
 */
public record ActiveConfiguration(Option<ConfigurationHead> head, Map<String, String> parts) {

    /** Returns the value before the first adoption of a configuration. */
    public static ActiveConfiguration none() {
        return new ActiveConfiguration(Option.none(), HashMap.empty());
    }

    /**
     * Returns the parts with the given digests. Parts that this configuration lacks are left out.
     */
    public Map<String, String> select(Vector<String> digests) {
        return parts.filterKeys(digests.toSet()::contains);
    }
}
