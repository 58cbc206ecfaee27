package org.sequoiaspindle.core.protocol.publication;

/** Receives heads that were learned from the store or from a peer. Thread-safe; does not block. */
@FunctionalInterface
public interface HeadReceiver {

    /**
     * Offers a head. The head is adopted after its parts have been fetched and checked, provided
     * that its generation is higher than the active generation.
     *
     * @param source source from which missing parts can be fetched
     */
    void offer(ConfigurationHead head, PartSource source);
}
