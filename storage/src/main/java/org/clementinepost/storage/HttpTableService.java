package org.clementinepost.storage;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HeaderField;
import org.clementinepost.storage.protocol.QueryPage;
import org.clementinepost.storage.protocol.TableErrorCodec;
import org.clementinepost.storage.protocol.TableRequest;
import org.clementinepost.storage.protocol.TableRequestCodec;
import org.clementinepost.storage.protocol.TableResponseCodec;
import reactor.core.publisher.Mono;

/**
 * Reads and writes the table through the DynamoDB JSON 1.0 protocol.
 *
 * <p>Requests are not signed; the platform must authorize the fleet by its IP addresses. A query
 * requests further pages until it reaches its limit, since the service may end a page early.
 */
final class HttpTableService implements TableService {
  private static final int OK_STATUS = 200;
  private static final String CONTENT_TYPE = "application/x-amz-json-1.0";

  private final PlatformHttpClient client;
  private final TableRequestCodec codec;

  HttpTableService(PlatformHttpClient client, String tableName) {
    this.client = client;
    this.codec = new TableRequestCodec(tableName);
  }

  @Override
  public Mono<Either<Failure, Option<Item>>> get(ItemKey key) {
    return call(new TableRequest.GetItem(key), TableResponseCodec::decodeItem);
  }

  @Override
  public Mono<Either<Failure, Vector<Item>>> query(
      String partition, Option<String> after, int limit) {
    if (limit <= 0) {
      return Mono.just(Either.right(Vector.empty()));
    }
    return queryPages(partition, after, limit, Vector.empty());
  }

  private Mono<Either<Failure, Vector<Item>>> queryPages(
      String partition, Option<String> after, int limit, Vector<Item> previous) {
    TableRequest request = new TableRequest.Query(partition, after, limit - previous.size());
    return call(request, TableResponseCodec::decodePage)
        .flatMap(
            result -> {
              if (result.isLeft()) {
                return Mono.just(Either.left(result.getLeft()));
              }
              QueryPage page = result.get();
              Vector<Item> all = previous.appendAll(page.items());
              if (page.lastEvaluatedSortKey().isEmpty() || all.size() >= limit) {
                return Mono.just(Either.right(all));
              }
              return queryPages(partition, page.lastEvaluatedSortKey(), limit, all);
            });
  }

  @Override
  public Mono<Either<Failure, Vector<ItemWrite>>> write(Vector<ItemWrite> writes) {
    return call(
            new TableRequest.TransactWriteItems(writes), TableResponseCodec::decodeWriteResponse)
        .map(result -> result.map(done -> writes));
  }

  private <T> Mono<Either<Failure, T>> call(
      TableRequest request, Function<byte[], Either<Failure, T>> decoder) {
    Vector<HeaderField> headers =
        Vector.of(
            new HeaderField("Content-Type", CONTENT_TYPE),
            new HeaderField("X-Amz-Target", TableRequestCodec.TARGET_PREFIX + request.operation()));
    return client
        .send("POST", "/", headers, codec.encode(request))
        .map(result -> result.flatMap(response -> decode(response, decoder)));
  }

  private static <T> Either<Failure, T> decode(
      PlatformHttpClient.Response response, Function<byte[], Either<Failure, T>> decoder) {
    if (response.status() != OK_STATUS) {
      return Either.left(TableErrorCodec.decode(response.status(), response.body()));
    }
    return decoder.apply(response.body());
  }
}
