package org.clementinepost.node.announce;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.rows.StoreAvailability;
import org.clementinepost.policy.host.Departures;
import org.clementinepost.storage.rows.Row;
import org.clementinepost.storage.rows.RowPage;
import org.clementinepost.storage.rows.RowStore;
import org.clementinepost.storage.rows.RowWrite;
import reactor.core.publisher.Mono;

/**
 * Records in the store which backend servers have left this node.
 *
 * <p>An announcement that a backend server sent before it left may arrive after the node has been
 * restarted. A node that has restarted reads its row, so that such an announcement stays void. Rows
 * are small, few and written only when a server leaves; those of nodes that are gone for good are
 * removed by other nodes, one for each start of a node.
 */
public final class DepartureService implements Behaviour<DepartureMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<DepartureMessage> NAME =
      ServiceName.of("departures", DepartureMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TABLE = "departures";
  private static final long RETRY_DELAY_MILLIS = 300;

  /** Nodes that start together remove rows at different times. */
  private static final int MAX_REMOVAL_DELAY_MILLIS = 300_000;

  private final TaskContext<DepartureMessage> context;
  private final NodeId self;
  private final RowStore store;
  private final StoreAvailability availability;
  private Option<RowPage> table = Option.none();
  private long tableReadNanos;
  private long ownVersion;
  private Departures recorded = Departures.none();
  private Vector<DepartureMessage.Record> waiting = Vector.empty();
  private boolean writeInProgress;
  private boolean restored;

  private DepartureService(TaskContext<DepartureMessage> context, NodeId self, RowStore store) {
    this.context = context;
    this.self = self;
    this.store = store;
    this.availability =
        new StoreAvailability(NAME.text(), context.registry(), RETRY_DELAY_MILLIS, this::readTable);
    readTable();
  }

  /** Returns the definition of the service on a store. */
  public static ServiceDefinition<DepartureMessage> definition(NodeId self, RowStore store) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new DepartureService(context, self, store));
  }

  /**
   * Returns the definition of a service that records nothing, on a platform without a row store.
   */
  public static ServiceDefinition<DepartureMessage> withoutStore() {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context ->
            message -> {
              if (message instanceof DepartureMessage.Record departure) {
                departure.reply().send(Either.right(Departures.none()));
              }
            });
  }

  private void readTable() {
    store.read(TABLE).subscribe(page -> context.self().send(new DepartureMessage.TableRead(page)));
  }

  @Override
  public void receive(DepartureMessage message) {
    if (message instanceof DepartureMessage.Record departure) {
      onDeparture(departure);
      return;
    }
    if (message instanceof DepartureMessage.TableRead read) {
      read.page().fold(this::onStoreFailure, this::onTableRead);
      return;
    }
    if (message instanceof DepartureMessage.RowWritten written) {
      onRowWritten(written);
      return;
    }
    removeExpiredRow();
  }

  private void onDeparture(DepartureMessage.Record departure) {
    if (isRecorded(departure)) {
      departure.reply().send(Either.right(recorded));
      return;
    }
    waiting = waiting.append(departure);
    writeIfNeeded();
  }

  private boolean isRecorded(DepartureMessage.Record departure) {
    return recorded.containsStart(departure.server(), departure.order());
  }

  private Void onTableRead(RowPage page) {
    availability.onSuccess();
    table = Option.some(page);
    tableReadNanos = context.clock().nowNanos();
    Option<Row> ownRow = page.rows().find(row -> row.key().equals(self.value()));
    ownVersion = ownRow.map(Row::version).getOrElse(0L);
    recorded =
        ownRow
            .flatMap(DepartureService::parse)
            .filter(row -> !row.isExpired(page.storeClockMillis()))
            .map(DepartureRow::departures)
            .getOrElse(Departures.none());
    if (!restored) {
      restored = true;
      context.registry().find(HostService.NAME).send(new HostMessage.DeparturesRestored(recorded));
      context.sendAfter(
          NAME.text(),
          context.random().nextInt(MAX_REMOVAL_DELAY_MILLIS),
          new DepartureMessage.RemoveExpired());
    }
    writeIfNeeded();
    return null;
  }

  private static Option<DepartureRow> parse(Row row) {
    return row.value()
        .flatMap(
            json ->
                DepartureRow.fromJson(json)
                    .peekLeft(
                        failure ->
                            logger.atWarning().log(
                                "event=departure-row-unreadable key=%s code=%d detail=%s",
                                row.key(), failure.code().number(), failure.detail()))
                    .toOption());
  }

  /** Refuses what waits for the store; what was to be written is sent again by the servers. */
  private Void onStoreFailure(Failure failure) {
    Vector<DepartureMessage.Record> refused = waiting;
    waiting = Vector.empty();
    refused.forEach(departure -> departure.reply().send(Either.left(failure)));
    table = Option.none();
    availability.onFailure(failure);
    return null;
  }

  private void writeIfNeeded() {
    if (waiting.isEmpty() || writeInProgress || table.isEmpty()) {
      return;
    }
    Departures departures =
        waiting.foldLeft(recorded, (all, next) -> all.with(next.server(), next.order()));
    DepartureRow row = new DepartureRow(departures, storeClockMillis(table.get()));
    writeInProgress = true;
    write(table.get(), self.value(), Option.some(row.toJson()), ownVersion)
        .subscribe(result -> context.self().send(new DepartureMessage.RowWritten(row, result)));
  }

  private Mono<Either<Failure, Long>> write(
      RowPage page, String key, Option<String> value, long expectedVersion) {
    StoreVersion expected = new StoreVersion(page.version().era(), expectedVersion);
    return store.write(TABLE, new RowWrite(key, value, expected));
  }

  private long storeClockMillis(RowPage page) {
    return page.storeClockMillis()
        + TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos() - tableReadNanos);
  }

  private void onRowWritten(DepartureMessage.RowWritten written) {
    writeInProgress = false;
    if (written.result().isLeft()) {
      onStoreFailure(written.result().getLeft());
      return;
    }
    ownVersion = written.result().get();
    recorded = written.row().departures();
    logger.atInfo().log("event=departures-recorded servers=%d", recorded.positions().size());
    Vector<DepartureMessage.Record> done = waiting.filter(this::isRecorded);
    waiting = waiting.removeAll(done);
    done.forEach(departure -> departure.reply().send(Either.right(recorded)));
    writeIfNeeded();
  }

  /** Removes one row of another node that has not been needed for long. */
  private void removeExpiredRow() {
    for (RowPage page : table) {
      Vector<Row> expired =
          page.rows()
              .filter(row -> !row.key().equals(self.value()))
              .filter(row -> parse(row).exists(r -> r.isExpired(storeClockMillis(page))));
      if (!expired.isEmpty()) {
        remove(page, expired.get(context.random().nextInt(expired.size())));
      }
    }
  }

  private void remove(RowPage page, Row row) {
    write(page, row.key(), Option.none(), row.version())
        .subscribe(
            result ->
                logger.atInfo().log(
                    "event=departure-row-removed key=%s removed=%s", row.key(), result.isRight()));
  }
}
