package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead;

/**
 * Converts heads to message fields and back. Digests are sent as bytes instead of hexadecimal text,
 * which halves the size of an announcement.
 */
final class HeadFieldCodec {

    private static final HexFormat HEX = HexFormat.of();
    private static final String SHA256_HEX = "[0-9a-f]{64}";

    private HeadFieldCodec() {}

    static Map<String, Object> write(ConfigurationHead head) {
        return MessageFields.of(
                "generation", head.generation(),
                "submissionId", head.submissionId(),
                "operator", head.operator(),
                "publishedAtMs", head.publishedAtMs(),
                "recentSubmissions", head.recentSubmissions().asJava(),
                "parts", head.parts().map(HeadFieldCodec::write).asJava());
    }

    private static List<Object> write(ConfigurationHead.PartReference part) {
        return List.of(part.kind(), part.bucket(), writeDigest(part.digest()));
    }

    static ConfigurationHead read(MessageFields fields) throws MalformedMessageException {
        return new ConfigurationHead(
                fields.number("generation"),
                fields.text("submissionId"),
                fields.text("operator"),
                fields.number("publishedAtMs"),
                fields.list("recentSubmissions", text -> MessageFields.text(text, "submission")),
                fields.list("parts", HeadFieldCodec::readPart));
    }

    private static ConfigurationHead.PartReference readPart(Object tree)
            throws MalformedMessageException {
        MessageFields fields = MessageFields.fromArray(tree, "kind", "bucket", "digest");
        return new ConfigurationHead.PartReference(
                fields.text("kind"), fields.integer("bucket"), readDigest(fields.value("digest")));
    }

    static Vector<Object> writeDigests(Vector<String> digests) {
        return digests.map(HeadFieldCodec::writeDigest);
    }

    static Object writeDigest(String digest) {
        return digest.matches(SHA256_HEX) ? HEX.parseHex(digest) : digest;
    }

    static String readDigest(Object tree) throws MalformedMessageException {
        return tree instanceof byte[] bytes
                ? HEX.formatHex(bytes)
                : MessageFields.text(tree, "digest");
    }
}
