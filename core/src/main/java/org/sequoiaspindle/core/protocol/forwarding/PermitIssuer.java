package org.sequoiaspindle.core.protocol.forwarding;

/** Issues permits to send requests to cold replicas. Implementations are thread-safe. */
@FunctionalInterface
public interface PermitIssuer {

    /** Issuer of a deployment without limits for cold replicas. */
    PermitIssuer NONE = replica -> PermitReply.NOT_ISSUER;

    /**
     * Issues a permit, or refuses it without waiting.
     *
     * @param replica identifier of the replica
     */
    PermitReply issue(String replica);
}
