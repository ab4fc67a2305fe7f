package org.clementinepost.storage.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import org.clementinepost.api.config.ConfigurationObject;
import org.clementinepost.api.config.ObjectKind;

/** Writes and reads objects of several kinds as one list per kind, sorted by name. */
final class ObjectListJson {
  private ObjectListJson() {}

  static ObjectNode write(Vector<ConfigurationObject> objects) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    for (ObjectKind kind : ObjectKind.values()) {
      ArrayNode list = node.putArray(kind.folder());
      objects
          .filter(object -> object.kind() == kind)
          .sortBy(ConfigurationObject::name)
          .map(ObjectJson::write)
          .forEach(list::add);
    }
    return node;
  }

  static Vector<ConfigurationObject> read(JsonNode node) {
    return Vector.of(ObjectKind.values())
        .flatMap(
            kind ->
                Vector.ofAll(node.path(kind.folder()))
                    .map(element -> ObjectJson.read(kind, element)));
  }
}
