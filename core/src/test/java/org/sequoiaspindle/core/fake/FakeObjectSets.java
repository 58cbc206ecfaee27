package org.sequoiaspindle.core.fake;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.sequoiaspindle.core.protocol.publication.ObjectSetFunctions;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;

/** Creates object sets for tests, and a codec that keeps the written sets in memory. */
public final class FakeObjectSets {
    private final Map<String, ObjectSet> writtenSets = new HashMap<>();

    /** Returns functions that write and read sets and accept every set. */
    public ObjectSetFunctions functions() {
        return new ObjectSetFunctions(this::write, this::read, set -> Vector.empty());
    }

    private String write(ObjectSet set) {
        writtenSets.put(set.toString(), set);
        return set.toString();
    }

    private Either<String, ObjectSet> read(String key) {
        ObjectSet set = writtenSets.get(key);
        return set == null ? Either.left("not a set") : Either.right(set);
    }

    /** Returns a set of ten endpoints, the second of which has the given number of slots. */
    public static ObjectSet withSlots(int slots) {
        ObjectSet empty = ObjectSet.empty();
        return new ObjectSet(
                empty.organisations(),
                Vector.of(new Operator("operator", "hash")),
                empty.endpointGroups(),
                Vector.range(0, 10).map(i -> endpoint("endpoint-" + i, i == 1 ? slots : 1)),
                empty.stages(),
                empty.pipelines(),
                empty.routingRules());
    }

    public static Endpoint endpoint(String name, int slots) {
        return new Endpoint(name, "group", "dc", "127.0.0.1:1", slots, false);
    }

    /** Returns the number of slots given to {@link #withSlots}, or 0 for any other set. */
    public static int slots(ObjectSet set) {
        return set.endpoints()
                .find(endpoint -> endpoint.name().equals("endpoint-1"))
                .map(Endpoint::slots)
                .getOrElse(0);
    }
}
