package org.clementinepost.storage.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.UncheckedIOException;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Reads and writes JSON documents as bytes. */
final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Decodes a document; malformed JSON or an exception of the decoder is a protocol failure. */
  static <T> Either<Failure, T> read(byte[] document, Function<JsonNode, T> decoder) {
    return Try.of(() -> decoder.apply(MAPPER.readTree(document)))
        .toEither()
        .mapLeft(e -> Failure.of(ResultCode.PLATFORM_PROTOCOL, String.valueOf(e.getMessage())));
  }
}
