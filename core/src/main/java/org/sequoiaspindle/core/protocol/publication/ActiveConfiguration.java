package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The configuration in force with its parts, from which peers fetch.
 *
 * @param head head of the configuration, absent before the first adoption
 * @param parts texts of the parts by digest
 */
public record ActiveConfiguration(Option<ConfigurationHead> head, Map<String, String> parts) {

    /** Value before the first adoption. */
    public static ActiveConfiguration none() {
        return new ActiveConfiguration(Option.none(), HashMap.empty());
    }

    /** The requested parts that are present. */
    public Map<String, String> select(Vector<String> digests) {
        return parts.filterKeys(digests.toSet()::contains);
    }
}
