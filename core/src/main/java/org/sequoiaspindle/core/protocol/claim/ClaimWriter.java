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
                        recordedOutcome ->
                                node.put("outcome", recordedOutcome.outcome().name())
                                        .put("answer", recordedOutcome.answer())
                                        .put("whole", recordedOutcome.answerComplete())
                                        .put("reason", recordedOutcome.reason()));
        return node.toString();
    }
}
