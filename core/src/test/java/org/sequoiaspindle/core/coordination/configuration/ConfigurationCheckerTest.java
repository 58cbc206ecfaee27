package org.sequoiaspindle.core.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Organisation;

/** Checks that consistent object sets are accepted and inconsistent ones are rejected. */
final class ConfigurationCheckerTest {

    @Property(seed = "20261204")
    void consistentSetHasNoProblems(@ForAll("sets") ObjectSet set) {
        assertEquals(Vector.empty(), ConfigurationChecker.check(set));
    }

    @Property(seed = "20261204")
    void singleFaultIsReportedWithItsObjectAndField(
            @ForAll("sets") ObjectSet set, @ForAll("mutations") Mutations.Mutation mutation) {
        Vector<ValidationProblem> problems =
                ConfigurationChecker.check(mutation.apply().apply(set));

        assertTrue(mutation.isReportedIn(problems), () -> mutation + " gave " + problems);
    }

    @Property(seed = "20261204")
    void severalFaultsAreReportedTogether(
            @ForAll("sets") ObjectSet set,
            @ForAll("mutations") Mutations.Mutation first,
            @ForAll("mutations") Mutations.Mutation second) {
        int expectedCodeCount =
                Vector.of(first, second).map(Mutations.Mutation::code).distinct().size();
        Vector<ValidationProblem> problems =
                ConfigurationChecker.check(second.apply().apply(first.apply().apply(set)));

        assertTrue(problems.map(ValidationProblem::code).distinct().size() >= expectedCodeCount);
    }

    @Property(seed = "20261204")
    void problemsDoNotDependOnTheOrderOfObjectsOfAKind(
            @ForAll("sets") ObjectSet set, @ForAll("mutations") Mutations.Mutation mutation) {
        ObjectSet faultySet = mutation.apply().apply(set);
        ObjectSet reversedSet =
                new ObjectSet(
                        faultySet.organisations(),
                        faultySet.operators(),
                        faultySet.endpointGroups().reverse(),
                        faultySet.endpoints().reverse(),
                        faultySet.stages(),
                        faultySet.pipelines().reverse(),
                        faultySet.routingRules());

        assertEquals(
                ConfigurationChecker.check(faultySet), ConfigurationChecker.check(reversedSet));
    }

    @Test
    void problemsAreOrderedByKindThenObjectThenField() {
        Organisation secondOrganisation = new Organisation("b", "wrong", 0, 0);
        ObjectSet set =
                new ObjectSet(
                        Vector.of(secondOrganisation, new Organisation("a", "wrong", 1, 1)),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty());

        assertEquals(
                Vector.of("a.secretHash", "b.maxConcurrent", "b.secretHash", "b.weight"),
                ConfigurationChecker.check(set).map(p -> p.objectName() + "." + p.field()));
    }

    @Test
    void messageNeverShowsASecretWrittenInPlaceOfItsHash() {
        ObjectSet set =
                new ObjectSet(
                        Vector.of(new Organisation("a", "hunter2", 1, 1)),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty(),
                        Vector.empty());

        assertTrue(ConfigurationChecker.check(set).forAll(p -> !p.message().contains("hunter2")));
    }

    @Provide
    Arbitrary<ObjectSet> sets() {
        return ConsistentObjectSets.arbitrary();
    }

    @Provide
    Arbitrary<Mutations.Mutation> mutations() {
        return Arbitraries.of(Mutations.ALL.asJava());
    }
}
