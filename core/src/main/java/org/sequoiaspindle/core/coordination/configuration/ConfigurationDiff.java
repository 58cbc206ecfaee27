package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Difference between two object sets, each part ordered by kind and name. The order in which the
 * objects are written makes no difference.
 *
 * @param added objects that only the second set has
 * @param removed objects that only the first set has
 * @param changed objects with different fields
 */
public record ConfigurationDiff(
        Vector<ObjectReference> added,
        Vector<ObjectReference> removed,
        Vector<ChangedObject> changed) {

    /** Difference that leads from one set to another. */
    public static ConfigurationDiff between(ObjectSet before, ObjectSet after) {
        return ObjectKind.ALL
                .map(kind -> ofKind(kind, before, after))
                .foldLeft(none(), ConfigurationDiff::concat);
    }

    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty() && changed.isEmpty();
    }

    private static ConfigurationDiff none() {
        return new ConfigurationDiff(Vector.empty(), Vector.empty(), Vector.empty());
    }

    private static <T extends NamedObject> ConfigurationDiff ofKind(
            ObjectKind<T> kind, ObjectSet before, ObjectSet after) {
        Map<String, T> old = kind.sorted(before).toLinkedMap(NamedObject::name, object -> object);
        Map<String, T> recent = kind.sorted(after).toLinkedMap(NamedObject::name, object -> object);
        return new ConfigurationDiff(
                references(kind, recent.filterKeys(name -> !old.containsKey(name))),
                references(kind, old.filterKeys(name -> !recent.containsKey(name))),
                recent.values()
                        .toVector()
                        .flatMap(object -> old.get(object.name()).map(o -> change(kind, o, object)))
                        .filter(change -> !change.fields().isEmpty()));
    }

    private static Vector<ObjectReference> references(
            ObjectKind<?> kind, Map<String, ? extends NamedObject> objects) {
        return objects.keySet().toVector().map(name -> new ObjectReference(kind.name(), name));
    }

    private static <T extends NamedObject> ChangedObject change(
            ObjectKind<T> kind, T before, T after) {
        Vector<ChangedField> fields =
                kind.fields()
                        .map(
                                field ->
                                        new ChangedField(
                                                field.name(),
                                                field.value().apply(before),
                                                field.value().apply(after)))
                        .filter(field -> !field.before().equals(field.after()));
        return new ChangedObject(new ObjectReference(kind.name(), after.name()), fields);
    }

    private ConfigurationDiff concat(ConfigurationDiff other) {
        return new ConfigurationDiff(
                added.appendAll(other.added),
                removed.appendAll(other.removed),
                changed.appendAll(other.changed));
    }

    /** Kind, as written in the document, and name of an object. */
    public record ObjectReference(String kind, String name) {}

    /** An object with the fields that differ. */
    public record ChangedObject(ObjectReference object, Vector<ChangedField> fields) {}

    /** A field with both values, of the types that {@link ObjectKind.Field} names. */
    public record ChangedField(String name, Object before, Object after) {}
}
