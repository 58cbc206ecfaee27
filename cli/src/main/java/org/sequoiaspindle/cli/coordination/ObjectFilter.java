package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/** Selects objects by kind and name. */
public final class ObjectFilter {

    private ObjectFilter() {}

    /** Returns the objects of a kind and name. An absent kind or name matches all objects. */
    public static ObjectSet select(ObjectSet set, Option<ObjectKind<?>> kind, Option<String> name) {
        return new ObjectSet(
                filter(ObjectKind.ORGANISATIONS, set, kind, name),
                filter(ObjectKind.OPERATORS, set, kind, name),
                filter(ObjectKind.ENDPOINT_GROUPS, set, kind, name),
                filter(ObjectKind.ENDPOINTS, set, kind, name),
                filter(ObjectKind.STAGES, set, kind, name),
                filter(ObjectKind.PIPELINES, set, kind, name),
                filter(ObjectKind.ROUTING_RULES, set, kind, name));
    }

    private static <T extends NamedObject> Vector<T> filter(
            ObjectKind<T> objectKind,
            ObjectSet set,
            Option<ObjectKind<?>> kind,
            Option<String> name) {
        return kind.forAll(selectedKind -> selectedKind.name().equals(objectKind.name()))
                ? objectKind
                        .objects()
                        .apply(set)
                        .filter(object -> name.forAll(object.name()::equals))
                : Vector.empty();
    }
}
