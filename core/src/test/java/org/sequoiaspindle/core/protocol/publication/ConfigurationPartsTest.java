package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sequoiaspindle.core.fake.FakeObjectSets;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.Stage;

/**
 * Tests that splitting loses no objects and that a change of one endpoint rewrites only one part.
 */
final class ConfigurationPartsTest {
    private final ObjectSetFunctions functions = new FakeObjectSets().functions();

    @Property(tries = 300, seed = "1")
    void joinedPartsHoldTheSameObjects(@ForAll("sets") ObjectSet set) {
        ConfigurationParts parts = split(set);
        Vector<ObjectSet> partSets =
                parts.parts().map(part -> functions.reader().apply(part.content()).get());
        assertEquals(sortByName(set), sortByName(ConfigurationParts.join(partSets)));
        assertTrue(parts.references().size() <= ConfigurationParts.ENDPOINT_BUCKETS + 6);
    }

    @Property(tries = 300, seed = "2")
    void changeOfOneEndpointChangesOnePart(
            @ForAll("sets") ObjectSet set, @ForAll("indexes") int index) {
        if (set.endpoints().isEmpty()) {
            return;
        }
        int endpointIndex = index % set.endpoints().size();
        Endpoint changedEndpoint =
                FakeObjectSets.endpoint(set.endpoints().get(endpointIndex).name(), 4096);
        ObjectSet changedSet =
                withEndpoints(set, set.endpoints().update(endpointIndex, changedEndpoint));
        assertEquals(1, split(changedSet).references().removeAll(split(set).references()).size());
    }

    @Property(tries = 100, seed = "3")
    void orderOfObjectsDoesNotChangeDigests(@ForAll("sets") ObjectSet set) {
        ObjectSet reversedSet = withEndpoints(set, set.endpoints().reverse());
        assertEquals(split(set).references(), split(reversedSet).references());
    }

    @Provide
    Arbitrary<Integer> indexes() {
        return Arbitraries.integers().between(0, 1000);
    }

    @Provide
    Arbitrary<ObjectSet> sets() {
        Arbitrary<Vector<String>> names =
                Arbitraries.strings()
                        .alpha()
                        .ofMinLength(1)
                        .ofMaxLength(8)
                        .list()
                        .uniqueElements()
                        .ofMaxSize(40)
                        .map(Vector::ofAll);
        return names.tuple2().map(pair -> set(pair.get1(), pair.get2()));
    }

    private static ObjectSet set(Vector<String> someNames, Vector<String> otherNames) {
        Option<String> none = Option.none();
        return new ObjectSet(
                otherNames.map(name -> new Organisation(name, "hash", 1, 1)),
                someNames.take(3).map(name -> new Operator(name, "hash")),
                otherNames
                        .take(5)
                        .map(name -> new EndpointGroup(name, EndpointGroup.Kind.POOL, none)),
                someNames.map(name -> FakeObjectSets.endpoint(name, 1)),
                otherNames.map(name -> new Stage(name, "group", true, false, 1, 1)),
                someNames.map(name -> new Pipeline(name, otherNames.take(2), 1, Vector.empty())),
                otherNames.map(name -> new RoutingRule(name, 1, none, none, none, "group")));
    }

    private ConfigurationParts split(ObjectSet set) {
        return ConfigurationParts.split(set, functions.writer());
    }

    private static ObjectSet withEndpoints(ObjectSet set, Vector<Endpoint> endpoints) {
        return new ObjectSet(
                set.organisations(),
                set.operators(),
                set.endpointGroups(),
                endpoints,
                set.stages(),
                set.pipelines(),
                set.routingRules());
    }

    private static ObjectSet sortByName(ObjectSet set) {
        return new ObjectSet(
                set.organisations().sortBy(NamedObject::name),
                set.operators().sortBy(NamedObject::name),
                set.endpointGroups().sortBy(NamedObject::name),
                set.endpoints().sortBy(NamedObject::name),
                set.stages().sortBy(NamedObject::name),
                set.pipelines().sortBy(NamedObject::name),
                set.routingRules().sortBy(NamedObject::name));
    }
}
