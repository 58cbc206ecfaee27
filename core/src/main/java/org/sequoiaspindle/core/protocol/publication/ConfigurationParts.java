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
import org.sequoiaspindle.core.protocol.publication.Head.PartReference;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * An object set in parts. A part holds the objects of one kind in one bucket, ordered by name, so
 * that a change of one object rewrites one part. Empty parts are left out.
 */
public final class ConfigurationParts {
    /** Buckets over which endpoints, the most numerous and most often changed kind, are spread. */
    public static final int ENDPOINT_BUCKETS = 16;

    private final Vector<Part> parts;

    private ConfigurationParts(Vector<Part> parts) {
        this.parts = parts;
    }

    /**
     * One part.
     *
     * @param reference kind, bucket and digest
     * @param text canonical text
     */
    public record Part(PartReference reference, String text) {
        /** Length of the text in bytes. */
        public int length() {
            return text.getBytes(StandardCharsets.UTF_8).length;
        }
    }

    /** Splits a set. */
    public static ConfigurationParts split(ObjectSet set, Function<ObjectSet, String> writer) {
        Vector<Part> parts =
                Vector.of(
                                single("organisations", set.organisations(), Sets::organisations),
                                single("operators", set.operators(), Sets::operators),
                                single("endpointGroups", set.endpointGroups(), Sets::groups),
                                endpoints(set.endpoints()),
                                single("stages", set.stages(), Sets::stages),
                                single("pipelines", set.pipelines(), Sets::pipelines),
                                single("routingRules", set.routingRules(), Sets::routingRules))
                        .flatMap(Function.identity())
                        .map(bucket -> bucket.write(writer));
        return new ConfigurationParts(parts);
    }

    /** Joins the sets of all parts. */
    public static ObjectSet join(Seq<ObjectSet> parts) {
        return parts.foldLeft(ObjectSet.empty(), Sets::union);
    }

    public Vector<Part> parts() {
        return parts;
    }

    public Vector<PartReference> references() {
        return parts.map(Part::reference);
    }

    /** Texts by digest. */
    public Map<String, String> texts() {
        return parts.toMap(part -> Tuple.of(part.reference().digest(), part.text()));
    }

    private record Bucket(String kind, int number, ObjectSet objects) {
        Part write(Function<ObjectSet, String> writer) {
            String text = writer.apply(objects);
            return new Part(new PartReference(kind, number, Sha256.of(text)), text);
        }
    }

    private static <T extends NamedObject> Vector<Bucket> single(
            String kind, Vector<T> objects, BiFunction<ObjectSet, Vector<T>, ObjectSet> with) {
        return objects.isEmpty()
                ? Vector.empty()
                : Vector.of(new Bucket(kind, 0, filled(objects, with)));
    }

    private static Vector<Bucket> endpoints(Vector<Endpoint> endpoints) {
        return endpoints
                .groupBy(endpoint -> bucket(endpoint.name()))
                .toVector()
                .sortBy(Tuple2::_1)
                .map(entry -> new Bucket("endpoints", entry._1, filled(entry._2, Sets::endpoints)));
    }

    private static <T extends NamedObject> ObjectSet filled(
            Vector<T> objects, BiFunction<ObjectSet, Vector<T>, ObjectSet> with) {
        return with.apply(ObjectSet.empty(), objects.sortBy(NamedObject::name));
    }

    private static int bucket(String name) {
        return (int) Math.floorMod(Hashing.xxh3_64().hashCharsToLong(name), ENDPOINT_BUCKETS);
    }
}
