package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/** Finds malformed names of objects and data centres. */
final class NameCheck {

    private static final String CODE = "malformed-name";

    private NameCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        return ObjectKind.ALL
                .flatMap(kind -> malformedObjectNames(kind, set))
                .appendAll(malformedDataCentreNames(set));
    }

    private static <T extends NamedObject> Vector<ValidationProblem> malformedObjectNames(
            ObjectKind<T> kind, ObjectSet set) {
        return kind.labelled(set)
                .filter(entry -> !ObjectNames.isWellFormed(entry.object().name()))
                .map(entry -> problem(kind, entry.label(), "name", entry.object().name()));
    }

    private static Vector<ValidationProblem> malformedDataCentreNames(ObjectSet set) {
        return ObjectKind.ENDPOINTS
                .labelled(set)
                .filter(entry -> !ObjectNames.isWellFormed(entry.object().dataCentre()))
                .map(
                        entry ->
                                problem(
                                        ObjectKind.ENDPOINTS,
                                        entry.label(),
                                        "dataCentre",
                                        entry.object().dataCentre()));
    }

    private static ValidationProblem problem(
            ObjectKind<?> kind, String label, String field, String value) {
        return new ValidationProblem(
                CODE,
                kind.name(),
                label,
                field,
                ObjectNames.quoted(value)
                        + " is not a name; use "
                        + ObjectNames.FORMAT_DESCRIPTION);
    }
}
