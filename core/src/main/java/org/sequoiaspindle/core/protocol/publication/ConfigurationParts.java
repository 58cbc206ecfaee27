package org.sequoiaspindle.core.protocol.publication;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead.PartReference;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * An object set split into parts. Each part holds the objects of one kind and one bucket, ordered
 * by name, so that a change of one object rewrites only one part. There are no empty parts.
 */
public final class ConfigurationParts {
    /**
     * Number of buckets for endpoints. Only endpoints have several buckets, because they are the
     * most numerous objects and change most often.
     */
    public static final int ENDPOINT_BUCKETS = 16;

    private final Vector<Part> parts;

    private ConfigurationParts(Vector<Part> parts) {
        this.parts = parts;
    }

    /**
     * One part.
     *
     * @param reference kind, bucket and digest
     * @param content canonical text
     */
    public record Part(PartReference reference, String content) {
        /** Returns the length of the text in bytes. */
        public int length() {
            return content.getBytes(StandardCharsets.UTF_8).length;
        }
    }

    /** Splits an object set into parts. */
    public static ConfigurationParts split(ObjectSet set, Function<ObjectSet, String> writer) {
        Vector<Part> parts =
                Vector.of(
                                singleBucket(
                                        "organisations",
                                        set.organisations(),
                                        ObjectSetUnions::withOrganisations),
                                singleBucket(
                                        "operators",
                                        set.operators(),
                                        ObjectSetUnions::withOperators),
                                singleBucket(
                                        "endpointGroups",
                                        set.endpointGroups(),
                                        ObjectSetUnions::withGroups),
                                endpointBuckets(set.endpoints()),
                                singleBucket("stages", set.stages(), ObjectSetUnions::withStages),
                                singleBucket(
                                        "pipelines",
                                        set.pipelines(),
                                        ObjectSetUnions::withPipelines),
                                singleBucket(
                                        "routingRules",
                                        set.routingRules(),
                                        ObjectSetUnions::withRoutingRules))
                        .flatMap(Function.identity())
                        .map(bucket -> bucket.write(writer));
        return new ConfigurationParts(parts);
    }

    /** Joins the object sets of all parts. */
    public static ObjectSet join(Seq<ObjectSet> parts) {
        return parts.foldLeft(ObjectSet.empty(), ObjectSetUnions::union);
    }

    public Vector<Part> parts() {
        return parts;
    }

    public Vector<PartReference> references() {
        return parts.map(Part::reference);
    }

    /** Returns the contents of the parts by digest. */
    public Map<String, String> partsByDigest() {
        return parts.toMap(part -> Tuple.of(part.reference().digest(), part.content()));
    }

    private record Bucket(String kind, int number, ObjectSet objects) {
        Part write(Function<ObjectSet, String> writer) {
            String text = writer.apply(objects);
            return new Part(new PartReference(kind, number, Sha256.of(text)), text);
        }
    }

    private static <T extends NamedObject> Vector<Bucket> singleBucket(
            String kind,
            Vector<T> objects,
            BiFunction<ObjectSet, Vector<T>, ObjectSet> withObjects) {
        return objects.isEmpty()
                ? Vector.empty()
                : Vector.of(new Bucket(kind, 0, setOfObjects(objects, withObjects)));
    }

    private static Vector<Bucket> endpointBuckets(Vector<Endpoint> endpoints) {
        return endpoints
                .groupBy(endpoint -> endpointBucket(endpoint.name()))
                .toVector()
                .sortBy(Tuple2::_1)
                .map(
                        entry ->
                                new Bucket(
                                        "endpoints",
                                        entry._1,
                                        setOfObjects(entry._2, ObjectSetUnions::withEndpoints)));
    }

    private static <T extends NamedObject> ObjectSet setOfObjects(
            Vector<T> objects, BiFunction<ObjectSet, Vector<T>, ObjectSet> withObjects) {
        return withObjects.apply(ObjectSet.empty(), objects.sortBy(NamedObject::name));
    }

    private static int endpointBucket(String name) {
        return (int) Math.floorMod(Hashing.xxh3_64().hashCharsToLong(name), ENDPOINT_BUCKETS);
    }
}
