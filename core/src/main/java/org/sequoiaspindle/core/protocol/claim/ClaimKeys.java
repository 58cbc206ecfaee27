package org.sequoiaspindle.core.protocol.claim;

import org.sequoiaspindle.core.protocol.publication.Sha256;

/** Keys of claims in the store. */
public final class ClaimKeys {
    private static final String PREFIX = "claim/";

    private ClaimKeys() {}

    /** Store key of an organisation's idempotency key. */
    public static String of(String organisation, String idempotencyKey) {
        return PREFIX + organisation + "/" + Sha256.of(idempotencyKey);
    }
}
