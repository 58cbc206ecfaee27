package org.sequoiaspindle.core.state.forwarding;

/**
 * Limits on client requests and connections.
 *
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time to receive a complete head, and maximum pause within a
 *     body
 * @param idleTimeoutMillis maximum time for which a connection may be idle between requests
 */
public record IngressLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits that apply until a configuration is known. */
    public static final IngressLimits DEFAULT = new IngressLimits(16_384, 4_194_304, 3_000, 15_000);
}
