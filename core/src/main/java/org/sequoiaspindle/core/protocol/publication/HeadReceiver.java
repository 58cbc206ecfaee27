package org.sequoiaspindle.core.protocol.publication;

/** Receives heads that were learned from the store or from a peer. Thread-safe; does not block. */
@FunctionalInterface
public interface HeadReceiver {

    /**
     * Offers a head. It is adopted once its parts have been fetched and checked, unless its
     * generation is not higher than the active generation.
     *
     * @param source source from which missing parts can be fetched
     */
    void offer(ConfigurationHead head, PartSource source);
}
