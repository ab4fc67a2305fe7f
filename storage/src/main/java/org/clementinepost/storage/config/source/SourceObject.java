package org.clementinepost.storage.config.source;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.Tuple;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;

/**
 * An object as it was written, right or wrong.
 *
 * @param kind the object's kind
 * @param file the file, relative to the folder
 * @param pointer the place in the file, as a JSON pointer
 * @param fields the fields in their order, without {@code kind}
 */
public record SourceObject(
    ObjectKind kind, String file, String pointer, Map<String, JsonNode> fields) {

  /** The field that tells an object's kind where the folder does not. */
  public static final String KIND = "kind";

  /** Takes the fields of a JSON object. */
  static SourceObject of(ObjectKind kind, String file, String pointer, JsonNode node) {
    Map<String, JsonNode> fields =
        LinkedHashMap.ofEntries(
            Vector.ofAll(node.properties())
                .map(entry -> Tuple.of(entry.getKey(), entry.getValue())));
    return new SourceObject(kind, file, pointer, fields.remove(KIND));
  }

  /** The schema of the object's kind. */
  public ObjectSchema schema() {
    return ObjectSchema.of(kind);
  }

  /** The object's name, when it has one. */
  public Option<String> name() {
    return text(schema().nameField());
  }

  /** A field's value. */
  public Option<JsonNode> field(String field) {
    return fields.get(field);
  }

  /** A field's value, when it is a text. */
  public Option<String> text(String field) {
    return fields.get(field).filter(JsonNode::isTextual).map(JsonNode::asText);
  }

  /** A field's value, when it is a whole number. */
  public Option<Integer> number(String field) {
    return fields.get(field).filter(JsonNode::isInt).map(JsonNode::asInt);
  }

  /** A finding on the whole object. */
  public Finding finding(ResultCode code, String problem, String hint) {
    return new Finding(file, pointer, code, problem, hint);
  }

  /** A finding on one field. */
  public Finding finding(String field, ResultCode code, String problem, String hint) {
    return new Finding(file, pointer + "/" + escapePointerToken(field), code, problem, hint);
  }

  private static String escapePointerToken(String field) {
    return field.replace("~", "~0").replace("/", "~1");
  }
}
