package org.clementinepost.testing.platform;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.TableService;
import org.clementinepost.storage.protocol.QueryPage;
import org.clementinepost.storage.protocol.TableRequest;
import org.clementinepost.storage.protocol.TableResponseCodec;
import reactor.core.publisher.Mono;

/** Answers the table's requests; a page ends early, as those of the real service do. */
final class TableEndpoint {
  private final TableService table;
  private final int maxPageItems;

  TableEndpoint(TableService table, int maxPageItems) {
    this.table = table;
    this.maxPageItems = maxPageItems;
  }

  Mono<StandInAnswer> answer(TableRequest request) {
    if (request instanceof TableRequest.GetItem get) {
      return table.get(get.key()).map(found -> encode(found.map(TableResponseCodec::encodeItem)));
    }
    if (request instanceof TableRequest.Query query) {
      return page(query);
    }
    return table
        .write(((TableRequest.TransactWriteItems) request).writes())
        .map(written -> encode(written.map(writes -> TableResponseCodec.encodeWriteResponse())));
  }

  private Mono<StandInAnswer> page(TableRequest.Query query) {
    int limit = Math.min(query.limit(), maxPageItems);
    return table
        .query(query.partition(), query.after(), limit)
        .map(
            found ->
                encode(
                    found
                        .map(items -> toPage(items, limit))
                        .map(page -> TableResponseCodec.encodePage(query.partition(), page))));
  }

  private static QueryPage toPage(Vector<Item> items, int limit) {
    Option<String> last =
        items.size() < limit ? Option.none() : items.lastOption().map(item -> item.key().sort());
    return new QueryPage(items, last);
  }

  private static StandInAnswer encode(Either<Failure, byte[]> result) {
    return result.fold(StandInAnswer::tableError, StandInAnswer::table);
  }
}
