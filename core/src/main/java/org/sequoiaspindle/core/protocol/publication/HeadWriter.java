package org.sequoiaspindle.core.protocol.publication;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes heads as JSON. */
public final class HeadWriter {
    private HeadWriter() {}

    /** Returns the head as a JSON string. */
    public static String write(ConfigurationHead head) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("generation", head.generation());
        node.put("submissionId", head.submissionId());
        node.put("operator", head.operator());
        node.put("publishedAtMs", head.publishedAtMs());
        ArrayNode recent = node.putArray("recentSubmissions");
        head.recentSubmissions().forEach(recent::add);
        ArrayNode parts = node.putArray("parts");
        head.parts()
                .forEach(
                        part ->
                                parts.addObject()
                                        .put("kind", part.kind())
                                        .put("bucket", part.bucket())
                                        .put("digest", part.digest()));
        return node.toString();
    }
}
