package org.clementinepost.api.config;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * What one version changes against the one before.
 *
 * <p>A removal carries the whole object as it was, so that it is found in maps that are keyed by
 * something other than the name, and costs the same at any number of objects.
 *
 * @param fromVersion the version before
 * @param toVersion the version after
 * @param removals objects that go, or that change; they are taken out first
 * @param upserts objects that come, or that change, as they are afterwards
 */
public record Delta(
    long fromVersion,
    long toVersion,
    Vector<ConfigurationObject> removals,
    Vector<ConfigurationObject> upserts) {

  /** What leads from one snapshot to another. */
  public static Delta between(Snapshot before, Snapshot after) {
    Map<ObjectRef, ConfigurationObject> old = byRef(before);
    Map<ObjectRef, ConfigurationObject> fresh = byRef(after);
    return new Delta(
        before.version(),
        after.version(),
        absentOrDifferentIn(fresh, old),
        absentOrDifferentIn(old, fresh));
  }

  private static Map<ObjectRef, ConfigurationObject> byRef(Snapshot snapshot) {
    return HashMap.ofEntries(snapshot.objects().map(object -> Tuple.of(object.ref(), object)));
  }

  /** The objects of one map that the other has not, or has otherwise. */
  private static Vector<ConfigurationObject> absentOrDifferentIn(
      Map<ObjectRef, ConfigurationObject> other, Map<ObjectRef, ConfigurationObject> objects) {
    return objects
        .values()
        .filter(object -> !other.get(object.ref()).equals(Option.some(object)))
        .toVector()
        .sortBy(ConfigurationObject::ref);
  }

  /** The names of the objects that differ. */
  public SortedSet<ObjectRef> changedRefs() {
    return TreeSet.ofAll(removals.appendAll(upserts).map(ConfigurationObject::ref));
  }

  /** Whether nothing differs. */
  public boolean isEmpty() {
    return removals.isEmpty() && upserts.isEmpty();
  }

  /** The same changes between two other versions. */
  public Delta withVersions(long from, long to) {
    return new Delta(from, to, removals, upserts);
  }
}
