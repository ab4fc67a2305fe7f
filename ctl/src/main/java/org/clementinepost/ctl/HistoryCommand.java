package org.clementinepost.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import java.time.Instant;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.JsonDocuments;
import org.clementinepost.storage.config.Publication;

/** Lists the newest versions, in descending order. */
final class HistoryCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    return context
        .store()
        .history(context.options().limit())
        .block()
        .fold(Outcome::of, publications -> show(publications.reverse()));
  }

  private static Outcome show(Vector<Publication> publications) {
    return Outcome.builder(ResultCode.OK)
        .objects("versions", publications.map(HistoryCommand::toJson))
        .lines(publications.map(HistoryCommand::toText))
        .build();
  }

  private static ObjectNode toJson(Publication publication) {
    return JsonDocuments.newObject()
        .put("version", publication.version())
        .put("publicationId", publication.stamp().publicationId())
        .put("operator", publication.stamp().operator())
        .put("publishedAtMillis", publication.stamp().publishedAtMillis())
        .put("note", publication.stamp().note());
  }

  private static String toText(Publication publication) {
    return publication.version()
        + " "
        + Instant.ofEpochMilli(publication.stamp().publishedAtMillis())
        + " "
        + publication.stamp().operator()
        + ": "
        + publication.stamp().note();
  }
}
