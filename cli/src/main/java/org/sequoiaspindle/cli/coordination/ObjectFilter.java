package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/** Selects objects by kind and name. */
public final class ObjectFilter {

    private ObjectFilter() {}

    /** The objects of the kind and name; an absent condition selects all. */
    public static ObjectSet select(ObjectSet set, Option<ObjectKind<?>> kind, Option<String> name) {
        return new ObjectSet(
                selected(ObjectKind.ORGANISATIONS, set, kind, name),
                selected(ObjectKind.OPERATORS, set, kind, name),
                selected(ObjectKind.ENDPOINT_GROUPS, set, kind, name),
                selected(ObjectKind.ENDPOINTS, set, kind, name),
                selected(ObjectKind.STAGES, set, kind, name),
                selected(ObjectKind.PIPELINES, set, kind, name),
                selected(ObjectKind.ROUTING_RULES, set, kind, name));
    }

    private static <T extends NamedObject> Vector<T> selected(
            ObjectKind<T> own, ObjectSet set, Option<ObjectKind<?>> kind, Option<String> name) {
        return kind.forAll(wanted -> wanted.name().equals(own.name()))
                ? own.objects().apply(set).filter(o -> name.forAll(o.name()::equals))
                : Vector.empty();
    }
}
