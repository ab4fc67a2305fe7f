package org.clementinepost.storage.config.source;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.config.ConfigurationObject;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.JsonDocuments;
import org.clementinepost.storage.config.ObjectJson;

/**
 * Configuration objects, in the form of operators' files, that are checked and published together.
 *
 * @param objects the objects in the order of their files
 * @param byRef the first object of each kind and name
 */
public record SourceSet(Vector<SourceObject> objects, Map<ObjectRef, SourceObject> byRef) {
  /** Creates a set of objects as written in files. */
  public static SourceSet of(Vector<SourceObject> objects) {
    Map<ObjectRef, SourceObject> byRef =
        objects
            .reverse()
            .filter(object -> object.name().isDefined())
            .toMap(object -> new ObjectRef(object.kind(), object.name().get()), object -> object);
    return new SourceSet(objects, byRef);
  }

  /** Creates a set of a snapshot's objects, to check them again after an edit. */
  public static SourceSet of(Snapshot snapshot) {
    return of(snapshot.objects().sortBy(ConfigurationObject::ref).map(SourceSet::toSourceObject));
  }

  private static SourceObject toSourceObject(ConfigurationObject object) {
    return SourceObject.of(
        object.kind(),
        "published",
        "/" + object.kind().folder() + "/" + object.name(),
        ObjectJson.write(object));
  }

  /** Returns the objects of one kind. */
  public Vector<SourceObject> ofKind(ObjectKind kind) {
    return objects.filter(object -> object.kind() == kind);
  }

  /** Returns the first object of a kind with the given name. */
  public Option<SourceObject> find(ObjectKind kind, String name) {
    return byRef.get(new ObjectRef(kind, name));
  }

  /**
   * Returns an object's fields together with those that it inherits from other objects.
   *
   * <p>Each object is visited at most once, so that the search also ends in a cycle.
   */
  public Map<String, JsonNode> effectiveFields(SourceObject object) {
    Map<String, JsonNode> fields = object.fields();
    Set<String> visited = HashSet.ofAll(object.name());
    Option<SourceObject> next = defaultsSource(object);
    while (next.isDefined() && !visited.contains(next.get().name().get())) {
      visited = visited.add(next.get().name().get());
      fields = fields.merge(next.get().fields());
      next = defaultsSource(next.get());
    }
    return fields;
  }

  /** Returns the object from which another one inherits its missing fields. */
  public Option<SourceObject> defaultsSource(SourceObject object) {
    if (object.kind() != ObjectKind.SERVICE) {
      return Option.none();
    }
    return object.text(ObjectSchema.DEFAULTS_FROM).flatMap(name -> find(ObjectKind.SERVICE, name));
  }

  /** Returns the snapshot of a set that has passed the checks, at version zero. */
  public Snapshot toSnapshot() {
    Snapshot snapshot = Snapshot.empty();
    for (SourceObject object : objects) {
      ObjectNode node = JsonDocuments.newObject();
      effectiveFields(object).forEach((name, value) -> node.set(name, value));
      snapshot = snapshot.with(ObjectJson.read(object.kind(), node));
    }
    return snapshot;
  }
}
