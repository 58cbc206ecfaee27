package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Vector;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.protocol.publication.Head;

/** Fields of heads. Digests are sent as bytes, which halves the size of an announcement. */
final class HeadFields {

    private static final HexFormat HEX = HexFormat.of();
    private static final String SHA256_HEX = "[0-9a-f]{64}";

    private HeadFields() {}

    static Map<String, Object> write(Head head) {
        return Fields.of(
                "generation", head.generation(),
                "submissionId", head.submissionId(),
                "operator", head.operator(),
                "publishedAtMs", head.publishedAtMs(),
                "recentSubmissions", head.recentSubmissions().asJava(),
                "parts", head.parts().map(HeadFields::write).asJava());
    }

    private static List<Object> write(Head.PartReference part) {
        return List.of(part.kind(), part.bucket(), writeDigest(part.digest()));
    }

    static Head read(Fields fields) throws MalformedMessageException {
        return new Head(
                fields.number("generation"),
                fields.text("submissionId"),
                fields.text("operator"),
                fields.number("publishedAtMs"),
                fields.list("recentSubmissions", text -> Fields.text(text, "submission")),
                fields.list("parts", HeadFields::part));
    }

    private static Head.PartReference part(Object tree) throws MalformedMessageException {
        Fields fields = Fields.named(tree, "kind", "bucket", "digest");
        return new Head.PartReference(
                fields.text("kind"), fields.integer("bucket"), digest(fields.value("digest")));
    }

    static Vector<Object> writeDigests(Vector<String> digests) {
        return digests.map(HeadFields::writeDigest);
    }

    static Object writeDigest(String digest) {
        return digest.matches(SHA256_HEX) ? HEX.parseHex(digest) : digest;
    }

    static String digest(Object tree) throws MalformedMessageException {
        return tree instanceof byte[] bytes ? HEX.formatHex(bytes) : Fields.text(tree, "digest");
    }
}
