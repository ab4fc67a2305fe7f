package org.clementinepost.storage.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Reads and writes JSON documents; one with a field twice or text after its end is refused. */
public final class JsonDocuments {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private JsonDocuments() {}

  /** An object without fields. */
  public static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  /** A list of objects. */
  public static JsonNode newArray(Iterable<ObjectNode> nodes) {
    ArrayNode list = MAPPER.createArrayNode();
    nodes.forEach(list::add);
    return list;
  }

  /** Writes a document on one line. */
  public static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("a tree in memory cannot be written", e);
    }
  }

  /** Writes a document on several lines, for people. */
  public static String writeIndented(JsonNode node) {
    return node.toPrettyString();
  }

  /** Reads a document. */
  public static Either<Failure, JsonNode> read(byte[] json) {
    try {
      return Either.right(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      return unreadableFailure(e.getOriginalMessage() + " at line " + e.getLocation().getLineNr());
    } catch (IOException e) {
      return unreadableFailure(String.valueOf(e.getMessage()));
    }
  }

  private static Either<Failure, JsonNode> unreadableFailure(String detail) {
    return Either.left(Failure.of(ResultCode.CONFIGURATION_UNREADABLE, detail));
  }
}
