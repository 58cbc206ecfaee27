package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/** Finds names used by several objects of one kind. */
final class DuplicateNameCheck {

    private DuplicateNameCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        return ObjectKind.ALL.flatMap(kind -> duplicates(kind, set));
    }

    private static <T extends NamedObject> Vector<ValidationProblem> duplicates(
            ObjectKind<T> kind, ObjectSet set) {
        return kind.labelled(set)
                .filter(entry -> ObjectNames.isWellFormed(entry.object().name()))
                .groupBy(entry -> entry.object().name())
                .values()
                .toVector()
                .filter(entries -> entries.size() > 1)
                .map(entries -> problem(kind, entries.head().label(), entries.size()));
    }

    private static ValidationProblem problem(ObjectKind<?> kind, String name, int count) {
        return new ValidationProblem(
                "duplicate-name",
                kind.name(),
                name,
                "name",
                count + " objects of this kind have this name; rename or remove all but one");
    }
}
