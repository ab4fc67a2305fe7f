package org.clementinepost.storage.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemKey;

/**
 * Writes and reads publications as items of the table: the head item and a history row per version.
 */
final class PublicationItem {
  static final ItemKey HEAD = new ItemKey("configuration", "head");
  static final String HISTORY = "configuration-history";

  private PublicationItem() {}

  /**
   * Returns the sort key of a version, padded with zeros so that sort keys are in the order of
   * versions.
   */
  static String sortKey(long version) {
    return String.format(Locale.ROOT, "%019d", version);
  }

  static ItemKey historyKey(long version) {
    return new ItemKey(HISTORY, sortKey(version));
  }

  static Item write(ItemKey key, Publication publication) {
    String body =
        JsonDocuments.newObject()
            .put("publicationId", publication.stamp().publicationId())
            .put("operator", publication.stamp().operator())
            .put("publishedAtMillis", publication.stamp().publishedAtMillis())
            .put("note", publication.stamp().note())
            .put("deltaObject", publication.deltaObject())
            .put("fullVersion", publication.fullVersion())
            .put("fullObject", publication.fullObject())
            .toString();
    return new Item(key, publication.version(), body);
  }

  static Either<Failure, Publication> read(Item item) {
    return JsonDocuments.read(item.body().getBytes(StandardCharsets.UTF_8))
        .map(body -> toPublication(item, body))
        .mapLeft(failure -> Failure.of(ResultCode.PLATFORM_PROTOCOL, failure.detail()));
  }

  private static Publication toPublication(Item item, JsonNode body) {
    return new Publication(
        item.version(),
        new PublicationStamp(
            body.path("publicationId").asText(),
            body.path("operator").asText(),
            body.path("publishedAtMillis").asLong(),
            body.path("note").asText()),
        body.path("deltaObject").asText(),
        body.path("fullVersion").asLong(),
        body.path("fullObject").asText());
  }
}
