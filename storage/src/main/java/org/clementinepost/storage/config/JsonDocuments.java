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

/**
 * Reads and writes JSON documents; rejects duplicate fields and text after the end of the document.
 */
public final class JsonDocuments {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private JsonDocuments() {}

  /** Returns a new object without fields. */
  public static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  /** Returns a new array of the given objects. */
  public static JsonNode newArray(Iterable<ObjectNode> nodes) {
    ArrayNode array = MAPPER.createArrayNode();
    nodes.forEach(array::add);
    return array;
  }

  /** Writes a document on one line. */
  public static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("cannot write JSON", e);
    }
  }

  /** Writes an indented document, for people to read. */
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
