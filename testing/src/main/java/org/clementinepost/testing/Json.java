package org.clementinepost.testing;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Converts records to JSON and back; rejects fields that the record does not declare. */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .setPropertyNamingStrategy(PropertyNamingStrategies.LOWER_CAMEL_CASE)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private Json() {}

  /** Returns the JSON of a value on one line. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Parses a document into a value, or returns the error message of the parser. */
  public static <T> Either<String, T> read(byte[] document, Class<T> type) {
    return Try.of(() -> MAPPER.readValue(new String(document, StandardCharsets.UTF_8), type))
        .toEither()
        .mapLeft(Json::errorMessage);
  }

  private static String errorMessage(Throwable error) {
    return error instanceof JsonProcessingException json
        ? json.getOriginalMessage()
        : String.valueOf(error.getMessage());
  }
}
