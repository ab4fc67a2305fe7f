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
 * Configuration object as written in a file, not yet checked.
 *
 * @param kind the object's kind
 * @param file the file, relative to the folder
 * @param pointer the position in the file, as a JSON pointer
 * @param fields the fields in their order, without {@code kind}
 */
public record SourceObject(
    ObjectKind kind, String file, String pointer, Map<String, JsonNode> fields) {

  /** The field that gives an object's kind where the folder does not. */
  public static final String KIND = "kind";

  /** Creates an object from the fields of a JSON object. */
  static SourceObject of(ObjectKind kind, String file, String pointer, JsonNode node) {
    Map<String, JsonNode> fields =
        LinkedHashMap.ofEntries(
            Vector.ofAll(node.properties())
                .map(entry -> Tuple.of(entry.getKey(), entry.getValue())));
    return new SourceObject(kind, file, pointer, fields.remove(KIND));
  }

  /** Returns the schema of the object's kind. */
  public ObjectSchema schema() {
    return ObjectSchema.of(kind);
  }

  /** Returns the object's name; none if it is missing or not a string. */
  public Option<String> name() {
    return text(schema().nameField());
  }

  /** Returns the value of a field; none if it is missing. */
  public Option<JsonNode> field(String field) {
    return fields.get(field);
  }

  /** Returns the value of a field if it is a string. */
  public Option<String> text(String field) {
    return fields.get(field).filter(JsonNode::isTextual).map(JsonNode::asText);
  }

  /** Returns the value of a field if it is an integer. */
  public Option<Integer> number(String field) {
    return fields.get(field).filter(JsonNode::isInt).map(JsonNode::asInt);
  }

  /** Creates a finding about the whole object. */
  public Finding finding(ResultCode code, String problem, String hint) {
    return new Finding(file, pointer, code, problem, hint);
  }

  /** Creates a finding about one field. */
  public Finding finding(String field, ResultCode code, String problem, String hint) {
    return new Finding(file, pointer + "/" + escapePointerToken(field), code, problem, hint);
  }

  private static String escapePointerToken(String field) {
    return field.replace("~", "~0").replace("/", "~1");
  }
}
