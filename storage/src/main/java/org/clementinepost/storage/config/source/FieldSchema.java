package org.clementinepost.storage.config.source;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Schema of one field of a kind of object.
 *
 * @param name the field's name, with its unit as a suffix
 * @param required whether an object must have it
 * @param allowedValues the allowed values, in words
 * @param validator accepts the allowed values
 */
public record FieldSchema(
    String name, boolean required, String allowedValues, Predicate<JsonNode> validator) {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

  static FieldSchema name(String name) {
    return new FieldSchema(
        name,
        true,
        "a name of up to 128 letters, digits, dots, colons, hyphens and underscores",
        FieldSchema::isName);
  }

  private static boolean isName(JsonNode value) {
    return value.isTextual() && NAME.matcher(value.asText()).matches();
  }

  static FieldSchema names(String name) {
    return new FieldSchema(name, false, "a list of names", FieldSchema::isNames);
  }

  private static boolean isNames(JsonNode value) {
    if (!value.isArray()) {
      return false;
    }
    for (JsonNode element : value) {
      if (!isName(element)) {
        return false;
      }
    }
    return true;
  }

  static FieldSchema text(String name, String allowedValues, Pattern pattern) {
    return new FieldSchema(
        name,
        true,
        allowedValues,
        value -> value.isTextual() && pattern.matcher(value.asText()).matches());
  }

  static FieldSchema booleanFlag(String name) {
    return new FieldSchema(name, false, "true or false", JsonNode::isBoolean);
  }

  static FieldSchema wholeNumber(String name, String unit, long min, long max) {
    return new FieldSchema(
        name,
        true,
        "a whole number of " + unit + " from " + min + " to " + max,
        value ->
            value.isIntegralNumber()
                && value.canConvertToLong()
                && value.asLong() >= min
                && value.asLong() <= max);
  }

  static FieldSchema decimalNumber(String name, String unit, double exclusiveMin, double max) {
    return new FieldSchema(
        name,
        true,
        String.format(
            Locale.ROOT, "a number of %s above %.0f and up to %.0f", unit, exclusiveMin, max),
        value -> value.isNumber() && value.asDouble() > exclusiveMin && value.asDouble() <= max);
  }

  FieldSchema optional() {
    return new FieldSchema(name, false, allowedValues, validator);
  }
}
