package org.sequoiaspindle.core.fake;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Stage;

/** A small consistent object set: a chat pipeline of two stages and a payment pipeline. */
public final class SampleObjectSet {

    public static final String DATA_CENTRE = "north";

    private SampleObjectSet() {}

    /** Returns the secret of an organisation of the set. */
    public static String secret(String organisation) {
        return "secret-of-" + organisation;
    }

    /** Returns the set with the given number of endpoints in each group. */
    public static ObjectSet withEndpoints(int perGroup, int slots) {
        Vector<String> groups = Vector.of("retrievers", "engines", "payments");
        return new ObjectSet(
                Vector.of("county", "drillers", "farms").map(SampleObjectSet::organisation),
                Vector.empty(),
                groups.map(name -> new EndpointGroup(name, kind(name), Option.none())),
                groups.flatMap(
                        group ->
                                Vector.range(0, perGroup)
                                        .map(index -> endpoint(group, index, slots))),
                Vector.of(
                        new Stage("retrieve", "retrievers", true, false, 30, 1_000),
                        new Stage("generate", "engines", true, true, 50, 1_000),
                        new Stage("pay", "payments", false, false, 30, 1_000)),
                Vector.of(pipeline("chat", "retrieve", "generate"), pipeline("payment", "pay")),
                Vector.empty());
    }

    /**
     * Returns the set with the group {@code engines} without endpoints and with another group as
     * overflow.
     */
    public static ObjectSet withOverflow(ObjectSet set) {
        return new ObjectSet(
                set.organisations(),
                set.operators(),
                set.endpointGroups()
                        .map(
                                group ->
                                        group.name().equals("engines")
                                                ? new EndpointGroup(
                                                        "engines",
                                                        group.kind(),
                                                        Option.some("spares"))
                                                : group)
                        .append(
                                new EndpointGroup(
                                        "spares", EndpointGroup.Kind.ENGINE, Option.none())),
                set.endpoints()
                        .filter(endpoint -> !endpoint.group().equals("engines"))
                        .append(endpoint("spares", 0, 4)),
                set.stages(),
                set.pipelines(),
                set.routingRules());
    }

    private static Organisation organisation(String name) {
        return new Organisation(name, SecretHash.of(secret(name), new byte[] {1, 2}), 1, 10_000);
    }

    private static EndpointGroup.Kind kind(String group) {
        return group.equals("engines") ? EndpointGroup.Kind.ENGINE : EndpointGroup.Kind.SERVICE;
    }

    private static Endpoint endpoint(String group, int index, int slots) {
        String name = group + "-" + index;
        return new Endpoint(name, group, DATA_CENTRE, "10.0.0.1:" + (1000 + index), slots, false);
    }

    private static Pipeline pipeline(String name, String... stages) {
        return new Pipeline(name, Vector.of(stages), 5_000, Vector.empty());
    }
}
