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

/**
 * Executes requests to the table service.
 *
 * <p>Pages hold fewer items than requested if the limit of the stand-in is lower: the real service
 * also ends pages early.
 */
final class TableEndpoint {
  private final TableService table;
  private final int maxPageItems;

  TableEndpoint(TableService table, int maxPageItems) {
    this.table = table;
    this.maxPageItems = maxPageItems;
  }

  Mono<StandInResponse> handle(TableRequest request) {
    if (request instanceof TableRequest.GetItem get) {
      return table
          .get(get.key())
          .map(found -> toResponse(found.map(TableResponseCodec::encodeItem)));
    }
    if (request instanceof TableRequest.Query query) {
      return queryPage(query);
    }
    return table
        .write(((TableRequest.TransactWriteItems) request).writes())
        .map(
            written -> toResponse(written.map(writes -> TableResponseCodec.encodeWriteResponse())));
  }

  private Mono<StandInResponse> queryPage(TableRequest.Query query) {
    int limit = Math.min(query.limit(), maxPageItems);
    return table
        .query(query.partition(), query.after(), limit)
        .map(
            found ->
                toResponse(
                    found
                        .map(items -> toPage(items, limit))
                        .map(page -> TableResponseCodec.encodePage(query.partition(), page))));
  }

  private static QueryPage toPage(Vector<Item> items, int limit) {
    Option<String> last =
        items.size() < limit ? Option.none() : items.lastOption().map(item -> item.key().sort());
    return new QueryPage(items, last);
  }

  private static StandInResponse toResponse(Either<Failure, byte[]> result) {
    return result.fold(StandInResponse::tableError, StandInResponse::tableResult);
  }
}
