package org.sequoiaspindle.core.protocol.claim;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sequoiaspindle.core.coordination.claim.Claim;

/** Writes claims as JSON. */
public final class ClaimWriter {
    private ClaimWriter() {}

    /** Returns the claim as a JSON string. */
    public static String write(Claim claim) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("attempt", claim.attempt());
        node.put("digest", claim.digest());
        claim.outcome()
                .forEach(
                        recorded ->
                                node.put("outcome", recorded.outcome().name())
                                        .put("answer", recorded.answer())
                                        .put("whole", recorded.answerComplete())
                                        .put("reason", recorded.reason()));
        return node.toString();
    }
}
