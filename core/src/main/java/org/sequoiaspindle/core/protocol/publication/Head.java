package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;

/**
 * The value under {@code config/head}: which parts make up the configuration of a generation.
 *
 * @param generation number of the configuration, rising by one with each publication
 * @param submissionId identifier of the submission that published it
 * @param operator operator who published it
 * @param publishedAtMs wall time of the publication in milliseconds since the Unix epoch
 * @param recentSubmissions the last submission ids, newest first, this one included
 * @param parts digests of the parts
 */
public record Head(
        long generation,
        String submissionId,
        String operator,
        long publishedAtMs,
        Vector<String> recentSubmissions,
        Vector<PartReference> parts) {

    /**
     * Reference to one content-addressed part.
     *
     * @param kind kind of the objects in the part
     * @param bucket number of the bucket within the kind
     * @param digest SHA-256 of the part's bytes in hexadecimal
     */
    public record PartReference(String kind, int bucket, String digest) {}
}
