package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Difference between two object sets, with each list ordered by kind and name. The order of objects
 * within the sets is ignored.
 *
 * @param added objects only in the second set
 * @param removed objects only in the first set
 * @param changed objects in both sets, with different field values
 */
public record ConfigurationDiff(
        Vector<ObjectReference> added,
        Vector<ObjectReference> removed,
        Vector<ChangedObject> changed) {

    /** Returns the difference between two sets. */
    public static ConfigurationDiff between(ObjectSet before, ObjectSet after) {
        return ObjectKind.ALL
                .map(kind -> betweenObjects(kind, before, after))
                .foldLeft(none(), ConfigurationDiff::concat);
    }

    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty() && changed.isEmpty();
    }

    private static ConfigurationDiff none() {
        return new ConfigurationDiff(Vector.empty(), Vector.empty(), Vector.empty());
    }

    private static <T extends NamedObject> ConfigurationDiff betweenObjects(
            ObjectKind<T> kind, ObjectSet before, ObjectSet after) {
        Map<String, T> objectsBefore =
                kind.sorted(before).toLinkedMap(NamedObject::name, object -> object);
        Map<String, T> objectsAfter =
                kind.sorted(after).toLinkedMap(NamedObject::name, object -> object);
        return new ConfigurationDiff(
                references(kind, objectsAfter.filterKeys(name -> !objectsBefore.containsKey(name))),
                references(kind, objectsBefore.filterKeys(name -> !objectsAfter.containsKey(name))),
                objectsAfter
                        .values()
                        .toVector()
                        .flatMap(
                                object ->
                                        objectsBefore
                                                .get(object.name())
                                                .map(
                                                        previousObject ->
                                                                change(
                                                                        kind,
                                                                        previousObject,
                                                                        object)))
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

    /** Name of an object and its kind as written in the document. */
    public record ObjectReference(String kind, String name) {}

    /** An object with the fields that differ. */
    public record ChangedObject(ObjectReference object, Vector<ChangedField> fields) {}

    /**
     * A field with the values in both sets. {@link ObjectKind.Field} lists the types of the values.
     */
    public record ChangedField(String name, Object before, Object after) {}
}
