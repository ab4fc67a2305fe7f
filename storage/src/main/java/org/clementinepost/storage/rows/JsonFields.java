package org.clementinepost.storage.rows;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;

/**
 * Reads fields that must be there and of the right type.
 *
 * <p>A field that is not gives an {@link IllegalArgumentException} that names it.
 */
public final class JsonFields {
  private JsonFields() {}

  /** A text that is not empty. */
  public static String requireText(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.asText().isEmpty()) {
      throw new IllegalArgumentException(field + " must be a text");
    }
    return value.asText();
  }

  /** A whole number. */
  public static long requireLong(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException(field + " must be a whole number");
    }
    return value.asLong();
  }

  /** A whole number of a least value or more. */
  public static int requireIntAtLeast(JsonNode node, String field, int min) {
    long value = requireLong(node, field);
    if (value < min || value > Integer.MAX_VALUE) {
      throw new IllegalArgumentException(field + " is out of its bounds");
    }
    return (int) value;
  }

  /** A number of zero or more. */
  public static double requireNonNegativeNumber(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isNumber() || value.asDouble() < 0) {
      throw new IllegalArgumentException(field + " must be a number of zero or more");
    }
    return value.asDouble();
  }

  /** A list. */
  public static JsonNode requireArray(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isArray()) {
      throw new IllegalArgumentException(field + " must be a list");
    }
    return value;
  }

  /** A field that may be left out, but not be of another type. */
  public static Option<JsonNode> optional(JsonNode node, String field) {
    JsonNode value = node.path(field);
    return value.isMissingNode() || value.isNull() ? Option.none() : Option.some(value);
  }
}
