package org.clementinepost.storage.rows;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import io.vavr.control.Option;
import org.clementinepost.api.NetworkAddress;

/**
 * Reads required fields of JSON objects.
 *
 * <p>A field that is missing or of another type causes an {@link IllegalArgumentException} that
 * names it.
 */
public final class JsonFields {
  private JsonFields() {}

  /** Returns a string that is not empty. */
  public static String requireText(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.asText().isEmpty()) {
      throw new IllegalArgumentException(field + " must be a non-empty string");
    }
    return value.asText();
  }

  /** Returns an integer. */
  public static long requireLong(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException(field + " must be an integer");
    }
    return value.asLong();
  }

  /** Returns an integer from {@code min} up to {@link Integer#MAX_VALUE}. */
  public static int requireIntAtLeast(JsonNode node, String field, int min) {
    long value = requireLong(node, field);
    if (value < min || value > Integer.MAX_VALUE) {
      throw new IllegalArgumentException(field + " is out of bounds");
    }
    return (int) value;
  }

  /** Returns an integer from {@code min} up to {@code max}. */
  public static int requireIntBetween(JsonNode node, String field, int min, int max) {
    int value = requireIntAtLeast(node, field, min);
    if (value > max) {
      throw new IllegalArgumentException(field + " is out of bounds");
    }
    return value;
  }

  /** Returns an integer from {@code min} up to {@code max}. */
  public static long requireLongBetween(JsonNode node, String field, long min, long max) {
    long value = requireLong(node, field);
    if (value < min || value > max) {
      throw new IllegalArgumentException(field + " is out of bounds");
    }
    return value;
  }

  /** Returns a finite number that is not negative. */
  public static double requireNonNegativeNumber(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < 0) {
      throw new IllegalArgumentException(field + " must be a non-negative number");
    }
    return value.asDouble();
  }

  /** Returns a finite number that is not negative, or the default if the field is missing. */
  public static double nonNegativeNumberOr(JsonNode node, String field, double defaultValue) {
    return optional(node, field).isEmpty() ? defaultValue : requireNonNegativeNumber(node, field);
  }

  /** Returns an address with an IP number, to which a connection needs no name lookup. */
  public static NetworkAddress requireIpAddress(JsonNode node, String field) {
    NetworkAddress address = NetworkAddress.parse(requireText(node, field));
    if (address.port() == 0 || !NetUtil.isValidIpV4Address(address.host())) {
      throw new IllegalArgumentException(field + " must be an IPv4 address and a port");
    }
    return address;
  }

  /** Returns an array. */
  public static JsonNode requireArray(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isArray()) {
      throw new IllegalArgumentException(field + " must be an array");
    }
    return value;
  }

  /** Returns a field whose type the caller checks; none if it is missing or null. */
  public static Option<JsonNode> optional(JsonNode node, String field) {
    JsonNode value = node.path(field);
    return value.isMissingNode() || value.isNull() ? Option.none() : Option.some(value);
  }
}
