package org.sequoiaspindle.core.protocol.claim;

import org.sequoiaspindle.core.protocol.publication.Sha256;

/** Store keys of claims. */
public final class ClaimKeys {
    private static final String PREFIX = "claim/";

    private ClaimKeys() {}

    /** Returns the store key of the claim of an organisation's idempotency key. */
    public static String of(String organisation, String idempotencyKey) {
        return PREFIX + organisation + "/" + Sha256.of(idempotencyKey);
    }
}
