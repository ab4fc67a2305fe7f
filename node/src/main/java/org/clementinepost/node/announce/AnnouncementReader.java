package org.clementinepost.node.announce;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.Locale;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.storage.rows.JsonFields;

/** Parses an announcement in the default protocol. */
final class AnnouncementReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final String PATH = "/announce";

  private AnnouncementReader() {}

  static Either<Failure, Announcement> read(String uri, byte[] json) {
    if (!PATH.equals(uri)) {
      return Either.left(Failure.of(ResultCode.NO_ROUTE, uri));
    }

    return Try.of(() -> parse(MAPPER.readTree(json)))
        .toEither()
        .mapLeft(
            error ->
                Failure.of(ResultCode.ANNOUNCEMENT_INVALID, String.valueOf(error.getMessage())));
  }

  private static Announcement parse(JsonNode node) {
    return new Announcement(
        new BackendServerId(JsonFields.requireText(node, "id")),
        new ServiceId(JsonFields.requireText(node, "service")),
        NetworkAddress.parse(JsonFields.requireText(node, "address")),
        count(node, "slots"),
        count(node, "connections"),
        Announcement.State.valueOf(JsonFields.requireText(node, "state").toUpperCase(Locale.ROOT)),
        node.path("uptimeMillis").asLong(),
        node.path("load").path("busySlots").asInt(),
        0,
        Option.none());
  }

  private static int count(JsonNode node, String field) {
    return JsonFields.requireIntBetween(node, field, 1, Announcement.MAX_SLOTS);
  }
}
