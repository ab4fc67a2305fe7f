package org.clementinepost.node.feed;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.api.peer.FeedRow;
import org.clementinepost.kernel.Registry;
import org.clementinepost.policy.feed.ConfirmedPage;
import org.clementinepost.storage.rows.PageOrigin;
import org.clementinepost.storage.rows.Row;
import org.clementinepost.storage.rows.RowPage;
import org.clementinepost.storage.rows.RowStore;
import org.clementinepost.storage.rows.RowWrite;
import reactor.core.publisher.Mono;

/**
 * Reads the tables that nodes follow through their feed services, and everything else, and all
 * writes, directly from the store.
 */
public final class RelayedRowStore implements RowStore {
  private final RowStore store;
  private final Registry registry;

  /** Creates a store whose feeds are found in a registry. */
  public RelayedRowStore(RowStore store, Registry registry) {
    this.store = store;
    this.registry = registry;
  }

  @Override
  public Mono<Either<Failure, RowPage>> read(String table) {
    return FeedTable.ofName(table)
        .map(feed -> subscribe(feed, Option.none(), feed.timing().longPollMillis()))
        .getOrElse(() -> store.read(table));
  }

  @Override
  public Mono<Either<Failure, RowPage>> changesSince(
      String table, StoreVersion version, long waitMillis) {
    return FeedTable.ofName(table)
        .map(feed -> subscribe(feed, Option.some(version), waitMillis))
        .getOrElse(() -> store.changesSince(table, version, waitMillis));
  }

  @Override
  public Mono<Either<Failure, Long>> write(String table, RowWrite write) {
    return store.write(table, write);
  }

  private Mono<Either<Failure, RowPage>> subscribe(
      FeedTable table, Option<StoreVersion> version, long waitMillis) {
    return Mono.create(
        sink -> {
          FeedServiceMessage message =
              new FeedServiceMessage.Subscribe(
                  version, waitMillis, result -> sink.success(toPage(version.isDefined(), result)));
          if (!registry.find(FeedService.nameOf(table)).send(message).accepted()) {
            sink.success(Either.left(Failure.of(ResultCode.NODE_OVERLOADED)));
          }
        });
  }

  /** A page with all rows in place of changes tells removals only by what it lacks. */
  private static Either<Failure, RowPage> toPage(
      boolean changesOnly, Either<Failure, ConfirmedPage> result) {
    return result.flatMap(
        confirmed ->
            changesOnly && confirmed.page().complete()
                ? Either.left(Failure.of(ResultCode.PLATFORM_HISTORY_LOST))
                : Either.right(toPage(confirmed)));
  }

  private static RowPage toPage(ConfirmedPage confirmed) {
    Vector<Row> rows = confirmed.page().rows().map(RelayedRowStore::toRow);
    PageOrigin origin =
        confirmed
            .requestNanos()
            .<PageOrigin>map(PageOrigin.RequestedAt::new)
            .getOrElse(PageOrigin.Relayed::new);
    return new RowPage(
        rows, confirmed.page().version(), confirmed.page().storeClockMillis(), origin);
  }

  private static Row toRow(FeedRow row) {
    return new Row(row.key(), row.value(), row.version());
  }
}
