package org.sequoiaspindle.core.protocol.claim;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sequoiaspindle.core.coordination.claim.Claim;

/** Writes claims as JSON. */
public final class ClaimWriter {
    private ClaimWriter() {}

    /** JSON text of the claim. */
    public static String write(Claim claim) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("attempt", claim.attempt());
        node.put("digest", claim.digest());
        claim.outcome()
                .forEach(
                        ended ->
                                node.put("outcome", ended.outcome().name())
                                        .put("answer", ended.answer())
                                        .put("whole", ended.whole())
                                        .put("reason", ended.reason()));
        return node.toString();
    }
}
