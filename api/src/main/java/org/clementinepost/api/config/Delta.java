package org.clementinepost.api.config;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The difference between two configuration versions.
 *
 * <p>A removal carries the whole old object, so that maps keyed by something other than the name
 * find it without a search, at a cost independent of the number of objects.
 *
 * @param fromVersion the version to which the delta applies
 * @param toVersion the version that results
 * @param removals removed objects, and changed objects as they were; applied before the upserts
 * @param upserts added objects, and changed objects as they are afterwards
 */
public record Delta(
    long fromVersion,
    long toVersion,
    Vector<ConfigurationObject> removals,
    Vector<ConfigurationObject> upserts) {

  /** Computes the delta from one snapshot to another. */
  public static Delta between(Snapshot before, Snapshot after) {
    Map<ObjectRef, ConfigurationObject> oldObjects = byRef(before);
    Map<ObjectRef, ConfigurationObject> newObjects = byRef(after);
    return new Delta(
        before.version(),
        after.version(),
        absentOrDifferentIn(newObjects, oldObjects),
        absentOrDifferentIn(oldObjects, newObjects));
  }

  private static Map<ObjectRef, ConfigurationObject> byRef(Snapshot snapshot) {
    return HashMap.ofEntries(snapshot.objects().map(object -> Tuple.of(object.ref(), object)));
  }

  /** Returns the objects that are absent from the other map or differ there. */
  private static Vector<ConfigurationObject> absentOrDifferentIn(
      Map<ObjectRef, ConfigurationObject> other, Map<ObjectRef, ConfigurationObject> objects) {
    return objects
        .values()
        .filter(object -> !other.get(object.ref()).equals(Option.some(object)))
        .toVector()
        .sortBy(ConfigurationObject::ref);
  }

  /** Returns the references of all objects that differ. */
  public SortedSet<ObjectRef> changedRefs() {
    return TreeSet.ofAll(removals.appendAll(upserts).map(ConfigurationObject::ref));
  }

  /** Returns whether nothing differs. */
  public boolean isEmpty() {
    return removals.isEmpty() && upserts.isEmpty();
  }

  /** Returns the same changes between two other versions. */
  public Delta withVersions(long from, long to) {
    return new Delta(from, to, removals, upserts);
  }
}
