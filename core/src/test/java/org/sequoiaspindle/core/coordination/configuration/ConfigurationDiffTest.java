package org.sequoiaspindle.core.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff.ChangedField;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff.ObjectReference;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Organisation;

/** Checks that a diff contains all changes and no others. */
final class ConfigurationDiffTest {

    @Property(seed = "20261204")
    void setDoesNotDifferFromItself(@ForAll("sets") ObjectSet set) {
        assertTrue(ConfigurationDiff.between(set, set).isEmpty());
    }

    @Property(seed = "20261204")
    void objectsAddedInOneDirectionAreRemovedInTheOther(
            @ForAll("sets") ObjectSet first, @ForAll("sets") ObjectSet second) {
        ConfigurationDiff forward = ConfigurationDiff.between(first, second);
        ConfigurationDiff backward = ConfigurationDiff.between(second, first);

        assertEquals(forward.added(), backward.removed());
        assertEquals(forward.removed(), backward.added());
        assertEquals(
                forward.changed().map(ConfigurationDiff.ChangedObject::object),
                backward.changed().map(ConfigurationDiff.ChangedObject::object));
    }

    @Test
    void changedObjectIsShownWithItsChangedFieldsOnly() {
        ConfigurationDiff diff =
                ConfigurationDiff.between(
                        with(new Organisation("a", "h", 1, 5), new Organisation("b", "h", 1, 1)),
                        with(new Organisation("c", "h", 1, 1), new Organisation("a", "h", 2, 5)));

        assertEquals(Vector.of(new ObjectReference("organisations", "c")), diff.added());
        assertEquals(Vector.of(new ObjectReference("organisations", "b")), diff.removed());
        assertEquals(
                Vector.of(new ChangedField("weight", 1, 2)),
                diff.changed().flatMap(ConfigurationDiff.ChangedObject::fields));
    }

    private static ObjectSet with(Organisation... organisations) {
        return new ObjectSet(
                Vector.of(organisations),
                Vector.empty(),
                Vector.empty(),
                Vector.empty(),
                Vector.empty(),
                Vector.empty(),
                Vector.empty());
    }

    @Provide
    Arbitrary<ObjectSet> sets() {
        return ConsistentObjectSets.arbitrary();
    }
}
