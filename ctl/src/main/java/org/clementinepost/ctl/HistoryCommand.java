package org.clementinepost.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import java.time.Instant;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.JsonDocuments;
import org.clementinepost.storage.config.Publication;

/** Lists the newest versions, the newest first. */
final class HistoryCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    return context
        .store()
        .history(context.options().limit())
        .block()
        .fold(Outcome::of, rows -> show(rows.reverse()));
  }

  private static Outcome show(Vector<Publication> rows) {
    return Outcome.builder(ResultCode.OK)
        .objects("versions", rows.map(HistoryCommand::toJson))
        .lines(rows.map(HistoryCommand::toText))
        .build();
  }

  private static ObjectNode toJson(Publication row) {
    return JsonDocuments.newObject()
        .put("version", row.version())
        .put("publicationId", row.stamp().publicationId())
        .put("operator", row.stamp().operator())
        .put("publishedAtMillis", row.stamp().publishedAtMillis())
        .put("note", row.stamp().note());
  }

  private static String toText(Publication row) {
    return row.version()
        + " "
        + Instant.ofEpochMilli(row.stamp().publishedAtMillis())
        + " "
        + row.stamp().operator()
        + ": "
        + row.stamp().note();
  }
}
