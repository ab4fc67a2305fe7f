package org.clementinepost.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/**
 * Outcome of a command, in a form for people and one for programs.
 *
 * @param code the result code, which determines the exit code
 * @param fields the fields of the JSON output
 * @param lines the lines of the text output
 */
record Outcome(ResultCode code, Map<String, JsonNode> fields, Vector<String> lines) {
  static Builder builder(ResultCode code) {
    return new Builder(code);
  }

  static Outcome of(Failure failure) {
    return builder(failure.code()).field("detail", failure.detail()).line(failure.detail()).build();
  }

  /** Builds an outcome. */
  static final class Builder {
    private final ResultCode code;
    private Map<String, JsonNode> fields = LinkedHashMap.empty();
    private Vector<String> lines = Vector.empty();

    private Builder(ResultCode code) {
      this.code = code;
    }

    Builder field(String name, String value) {
      return field(name, TextNode.valueOf(value));
    }

    Builder field(String name, long value) {
      return field(name, LongNode.valueOf(value));
    }

    Builder field(String name, JsonNode value) {
      fields = fields.put(name, value);
      return this;
    }

    Builder texts(String name, Iterator<?> values) {
      ArrayNode list = JsonNodeFactory.instance.arrayNode();
      values.forEach(value -> list.add(value.toString()));
      return field(name, list);
    }

    Builder objects(String name, Vector<ObjectNode> values) {
      ArrayNode list = JsonNodeFactory.instance.arrayNode();
      values.forEach(list::add);
      return field(name, list);
    }

    Builder line(String text) {
      lines = lines.append(text);
      return this;
    }

    Builder lines(Vector<String> texts) {
      lines = lines.appendAll(texts);
      return this;
    }

    Outcome build() {
      return new Outcome(code, fields, lines);
    }
  }
}
