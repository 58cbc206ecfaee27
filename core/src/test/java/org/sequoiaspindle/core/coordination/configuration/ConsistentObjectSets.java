package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Stage;

/** Generates random object sets that are consistent by construction, for property tests. */
public final class ConsistentObjectSets {

    private static final String HASH = SecretHash.of("secret", new byte[] {1, 2, 3, 4});

    private ConsistentObjectSets() {}

    /** Returns sets with at least one object of each kind, two groups and two routing rules. */
    public static Arbitrary<ObjectSet> arbitrary() {
        return Arbitraries.randoms().map(ConsistentObjectSets::from);
    }

    private static ObjectSet from(Random random) {
        Vector<String> organisations = names("organisation", 1 + random.nextInt(4));
        Vector<String> groups = names("group", 2 + random.nextInt(4));
        Vector<String> stages = names("stage", 2 + random.nextInt(5));
        return new ObjectSet(
                organisations.map(
                        name ->
                                new Organisation(
                                        name,
                                        HASH,
                                        1 + random.nextInt(1000),
                                        1 + random.nextInt(100_000))),
                names("operator", 1 + random.nextInt(2)).map(name -> new Operator(name, HASH)),
                groups.zipWithIndex().map(g -> group(g._1(), g._2(), groups, random)),
                groups.flatMap(group -> endpoints(group, 1 + random.nextInt(3), random)),
                stages.zipWithIndex()
                        .map(s -> stage(s._1(), s._2() > 0, pick(groups, random), random)),
                names("pipeline", 1 + random.nextInt(3))
                        .map(name -> pipeline(name, stages, organisations, random)),
                rules(organisations, stages, groups, random));
    }

    /** A group overflows only to the next group, so that there is no cycle. */
    private static EndpointGroup group(
            String name, int index, Vector<String> groups, Random random) {
        EndpointGroup.Kind[] kinds = EndpointGroup.Kind.values();
        Option<String> overflow =
                index + 1 < groups.size() && random.nextBoolean()
                        ? Option.some(groups.get(index + 1))
                        : Option.none();
        return new EndpointGroup(name, kinds[random.nextInt(kinds.length)], overflow);
    }

    private static Vector<Endpoint> endpoints(String group, int count, Random random) {
        return names(group + "-endpoint", count)
                .map(
                        name ->
                                new Endpoint(
                                        name,
                                        group,
                                        "dc" + random.nextInt(3),
                                        "10.%d.%d.%d:%d"
                                                .formatted(
                                                        random.nextInt(256),
                                                        random.nextInt(256),
                                                        random.nextInt(256),
                                                        1 + random.nextInt(65_535)),
                                        1 + random.nextInt(4096),
                                        random.nextBoolean()));
    }

    private static Stage stage(String name, boolean idempotent, String group, Random random) {
        return new Stage(
                name,
                group,
                idempotent,
                random.nextBoolean(),
                1 + random.nextInt(3_600_000),
                1 + random.nextInt(10_000_000));
    }

    /**
     * Only the first stage of the set is non-idempotent, and no stage occurs twice in a pipeline.
     */
    private static Pipeline pipeline(
            String name, Vector<String> stages, Vector<String> organisations, Random random) {
        return new Pipeline(
                name,
                shuffled(stages, random).take(1 + random.nextInt(stages.size())),
                1 + random.nextInt(3_600_000),
                organisations.take(random.nextInt(organisations.size() + 1)));
    }

    /** The rule with the higher order has the wider conditions, so that no rule is shadowed. */
    private static Vector<RoutingRule> rules(
            Vector<String> organisations,
            Vector<String> stages,
            Vector<String> groups,
            Random random) {
        Option<String> organisation = Option.some(pick(organisations, random));
        Option<String> stage = Option.some(pick(stages, random));
        int firstOrder = random.nextInt(1000);
        return Vector.of(
                new RoutingRule(
                        "narrow",
                        firstOrder,
                        organisation,
                        Option.some("pipeline0"),
                        stage,
                        pick(groups, random)),
                new RoutingRule(
                        "wide",
                        firstOrder + 1 + random.nextInt(1000),
                        organisation,
                        Option.none(),
                        stage,
                        pick(groups, random)));
    }

    private static Vector<String> names(String prefix, int count) {
        return Vector.range(0, count).map(index -> prefix + index);
    }

    private static Vector<String> shuffled(Vector<String> names, Random random) {
        List<String> shuffledNames = names.toJavaList();
        Collections.shuffle(shuffledNames, random);
        return Vector.ofAll(shuffledNames);
    }

    private static String pick(Vector<String> from, Random random) {
        return from.get(random.nextInt(from.size()));
    }
}
