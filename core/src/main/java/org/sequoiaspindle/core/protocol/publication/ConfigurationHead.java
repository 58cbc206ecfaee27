package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;

/**
 * The value of the key {@code config/head}: the list of the parts that make up the active
 * configuration.
 *
 * @param generation number of the configuration, incremented by each publication
 * @param submissionId identifier of the submission that published it
 * @param operator name of the operator who published it
 * @param publishedAtMs wall-clock time of the publication in milliseconds since the Unix epoch
 * @param recentSubmissions entries of the last submissions, newest first, including the submission
 *     that published this head
 * @param parts references to the parts
 */
public record ConfigurationHead(
        long generation,
        String submissionId,
        String operator,
        long publishedAtMs,
        Vector<String> recentSubmissions,
        Vector<PartReference> parts) {

    /**
     * Reference to a part by its content digest.
     *
     * @param kind kind of the objects in the part
     * @param bucket number of the bucket within the kind
     * @param digest SHA-256 of the part's bytes in hexadecimal
     */
    public record PartReference(String kind, int bucket, String digest) {}
}
