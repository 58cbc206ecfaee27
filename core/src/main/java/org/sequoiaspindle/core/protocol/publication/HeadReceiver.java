package org.sequoiaspindle.core.protocol.publication;

/** Takes heads that were heard of, from a watch or from a peer. Thread-safe; does not block. */
@FunctionalInterface
public interface HeadReceiver {

    /**
     * Offers a head. It is adopted once its parts have been fetched and checked, unless its
     * generation is not higher than the one in force.
     *
     * @param source where the parts that this instance lacks can be had
     */
    void offer(Head head, PartSource source);
}
