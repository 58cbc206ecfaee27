package org.sequoiaspindle.core.protocol.forwarding;

/**
 * Answer of an issuer to a request for a permit.
 *
 * @param waitMillis time until the issuer may have another permit, in milliseconds
 */
public record PermitReply(boolean granted, long waitMillis) {

    /** Answer of an instance that is not the issuer. */
    public static final PermitReply NOT_ISSUER = new PermitReply(false, 0);
}
