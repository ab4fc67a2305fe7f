package org.clementinepost.node.announce;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.policy.host.AnnouncementOrder;
import org.clementinepost.policy.host.Departures;
import org.clementinepost.storage.rows.JsonFields;

/**
 * The row of one node in the table of departures, stored as JSON.
 *
 * @param departures the backend servers that have left the node
 * @param writtenMillis when it was written, by the store's clock
 */
record DepartureRow(Departures departures, long writtenMillis) {
  /** How long a row is kept: announcements that are later than this are not expected. */
  private static final long RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String WRITTEN_MILLIS = "writtenMillis";
  private static final String DEPARTED = "departed";
  private static final String SERVER_ID = "id";
  private static final String SERVER_START_MILLIS = "serverStartMillis";
  private static final String SEQUENCE_NUMBER = "sequenceNumber";

  /** Whether no announcement is expected any more that the row makes void. */
  boolean isExpired(long storeClockMillis) {
    return storeClockMillis - writtenMillis > RETENTION_MILLIS;
  }

  String toJson() {
    ObjectNode root = MAPPER.createObjectNode().put(WRITTEN_MILLIS, writtenMillis);
    ArrayNode departed = root.putArray(DEPARTED);
    departures
        .positions()
        .forEach(
            (server, order) ->
                departed
                    .addObject()
                    .put(SERVER_ID, server.value())
                    .put(SERVER_START_MILLIS, order.serverStartMillis())
                    .put(SEQUENCE_NUMBER, order.sequenceNumber()));
    return root.toString();
  }

  static Either<Failure, DepartureRow> fromJson(String json) {
    return Try.of(() -> read(MAPPER.readTree(json)))
        .toEither()
        .mapLeft(
            error -> Failure.of(ResultCode.PLATFORM_PROTOCOL, String.valueOf(error.getMessage())));
  }

  private static DepartureRow read(JsonNode root) {
    Departures departures = Departures.none();
    for (JsonNode entry : root.path(DEPARTED)) {
      departures =
          departures.with(
              new BackendServerId(JsonFields.requireText(entry, SERVER_ID)),
              new AnnouncementOrder(
                  JsonFields.requireLong(entry, SERVER_START_MILLIS),
                  JsonFields.requireLong(entry, SEQUENCE_NUMBER)));
    }
    return new DepartureRow(departures, JsonFields.requireLong(root, WRITTEN_MILLIS));
  }
}
