package org.clementinepost.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.config.ConfigurationObject;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.storage.config.JsonDocuments;
import org.clementinepost.storage.config.ObjectJson;

/** Formats a delta as one JSON object or one line per changed configuration object. */
final class DeltaFormatter {
  private DeltaFormatter() {}

  static Vector<ObjectNode> toJson(Delta delta) {
    return delta.changedRefs().toVector().map(ref -> toJson(delta, ref));
  }

  private static ObjectNode toJson(Delta delta, ObjectRef ref) {
    Option<ObjectNode> before = find(delta.removals(), ref);
    Option<ObjectNode> after = find(delta.upserts(), ref);
    ObjectNode node =
        JsonDocuments.newObject().put("kind", ref.kind().label()).put("name", ref.name());
    node.put("change", before.isEmpty() ? "added" : after.isEmpty() ? "removed" : "changed");
    before.forEach(value -> node.set("before", value));
    after.forEach(value -> node.set("after", value));
    return node;
  }

  static Vector<String> toLines(Delta delta) {
    return delta.changedRefs().toVector().map(ref -> toLine(delta, ref));
  }

  private static String toLine(Delta delta, ObjectRef ref) {
    Option<ObjectNode> before = find(delta.removals(), ref);
    Option<ObjectNode> after = find(delta.upserts(), ref);
    if (before.isEmpty()) {
      return "+ " + ref;
    }
    if (after.isEmpty()) {
      return "- " + ref;
    }
    return "~ " + ref + " " + differences(before.get(), after.get());
  }

  private static String differences(ObjectNode before, ObjectNode after) {
    return Vector.ofAll(after.properties())
        .reject(field -> field.getValue().equals(before.get(field.getKey())))
        .map(
            field -> field.getKey() + ": " + before.get(field.getKey()) + " -> " + field.getValue())
        .mkString(", ");
  }

  private static Option<ObjectNode> find(Vector<ConfigurationObject> objects, ObjectRef ref) {
    return objects.find(object -> object.ref().equals(ref)).map(ObjectJson::write);
  }
}
