package org.clementinepost.node.directory;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.HashMap;
import io.vavr.collection.LinkedHashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.kernel.TimerService;
import org.clementinepost.node.feed.FeedService;
import org.clementinepost.node.feed.FeedServiceMessage;
import org.clementinepost.node.feed.FeedTable;
import org.clementinepost.node.feed.RelayedRowStore;
import org.clementinepost.node.operator.OperatorMessage;
import org.clementinepost.node.operator.OperatorService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.node.quota.QuotaServiceMessage;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.node.rows.StoreAvailability;
import org.clementinepost.storage.rows.Row;
import org.clementinepost.storage.rows.RowPage;
import org.clementinepost.storage.rows.RowStore;
import org.clementinepost.storage.rows.RowWrite;

/**
 * Maintains the directory from one small table in the store, in which each node has a row.
 *
 * <p>A node writes its row when the contents change, not as a heartbeat: whether a node is
 * reachable shows when a request is sent to it. A node that finds its row missing or changed by
 * another writer writes it again.
 */
public final class TableDirectoryService implements Behaviour<DirectoryMessage> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TABLE = FeedTable.NODES.tableName();
  private static final long LONG_POLL_MILLIS = 6_000;

  private static final long RETRY_DELAY_MILLIS = 500;

  private final TaskContext<DirectoryMessage> context;
  private final Member self;
  private final RowStore store;
  private final RowStore feed;
  private final StoreAvailability availability;
  private Option<StoreVersion> knownVersion = Option.none();
  private Map<NodeId, VersionedNodeRow> otherNodes = HashMap.empty();
  private Vector<Member> members = Vector.empty();
  private Vector<NodeId> relays = Vector.empty();
  private Map<ServiceId, Vector<Endpoint>> publishedEndpoints = HashMap.empty();
  private Vector<Endpoint> localEndpoints = Vector.empty();
  private Option<Row> ownRow = Option.none();

  /** The era in which the own row, or its absence, was read. */
  private long ownRowEra;

  private boolean writeInProgress;
  private boolean stopping;

  private TableDirectoryService(
      TaskContext<DirectoryMessage> context, Member self, RowStore store) {
    this.context = context;
    this.self = self;
    this.store = store;
    this.feed = new RelayedRowStore(store, context.registry());
    this.availability =
        new StoreAvailability(
            DirectoryService.NAME.text(),
            context.registry(),
            RETRY_DELAY_MILLIS,
            () -> context.self().send(new DirectoryMessage.Tick()));
    poll();
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<DirectoryMessage> definition(Member self, RowStore store) {
    return new ServiceDefinition<>(
        DirectoryService.NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new TableDirectoryService(context, self, store));
  }

  private void poll() {
    boolean complete = knownVersion.isEmpty();
    knownVersion
        .map(version -> feed.changesSince(TABLE, version, LONG_POLL_MILLIS))
        .getOrElse(() -> feed.read(TABLE))
        .subscribe(page -> context.self().send(new DirectoryMessage.TableRead(complete, page)));
  }

  @Override
  public void receive(DirectoryMessage message) {
    if (message instanceof DirectoryMessage.LocalEndpointsChanged changed) {
      localEndpoints = changed.endpoints();
      publishChanges();
      writeIfNeeded();
      return;
    }
    if (message instanceof DirectoryMessage.Lookup lookup) {
      lookup.reply().send(false);
      return;
    }
    if (message instanceof DirectoryMessage.TableRead read) {
      read.page().fold(this::onReadFailure, page -> onTableRead(read.complete(), page));
      return;
    }
    if (message instanceof DirectoryMessage.OwnRowWritten written) {
      onOwnRowWritten(written);
      return;
    }
    if (message instanceof DirectoryMessage.OwnRowRead read) {
      onOwnRowRead(read.page());
      return;
    }
    if (message instanceof DirectoryMessage.Tick) {
      poll();
      return;
    }
    if (message instanceof DirectoryMessage.NodeStopping) {
      stopping = true;
      localEndpoints = Vector.empty();
      writeIfNeeded();
    }
  }

  private Void onReadFailure(Failure failure) {
    if (failure.code() == ResultCode.PLATFORM_HISTORY_LOST) {
      logger.atInfo().log("event=directory-history-lost code=%d", failure.code().number());
      knownVersion = Option.none();
      poll();
      return null;
    }
    // Changes made while the store was unavailable are unknown until the whole table is read.
    knownVersion = Option.none();
    availability.onFailure(failure);
    return null;
  }

  private Void onTableRead(boolean complete, RowPage page) {
    availability.onSuccess();
    if (complete) {
      otherNodes = HashMap.empty();
    }
    if (complete && page.version().era() >= ownRowEra) {
      ownRow = Option.none();
      ownRowEra = page.version().era();
    }
    knownVersion = Option.some(page.version());
    page.rows().forEach(row -> applyRow(row, page.version().era()));
    publishChanges();
    writeIfNeeded();
    poll();
    return null;
  }

  private void applyRow(Row row, long era) {
    if (row.key().equals(self.node().value())) {
      // The feed may bring a version of this row that is older than one this node has written.
      if (era < ownRowEra || ownRow.exists(known -> known.version() > row.version())) {
        return;
      }
      ownRow = row.value().isDefined() ? Option.some(row) : Option.none();
      return;
    }
    NodeId node = new NodeId(row.key());
    if (row.value().isEmpty()) {
      otherNodes = otherNodes.remove(node);
      return;
    }
    NodeRow.fromJson(row.key(), row.value().get())
        .fold(
            this::logUnreadableRow,
            nodeRow -> {
              otherNodes = otherNodes.put(node, new VersionedNodeRow(nodeRow, row.version()));
              return null;
            });
  }

  private Void logUnreadableRow(Failure failure) {
    logger.atWarning().log(
        "event=node-row-unreadable code=%d detail=%s", failure.code().number(), failure.detail());
    return null;
  }

  /** Tells the feeds which nodes of the own failure domain relay tables. */
  private void publishRelays() {
    Vector<NodeId> current =
        currentNodes()
            .values()
            .map(VersionedNodeRow::row)
            .filter(row -> row.relaysFeeds() && row.member().domain().equals(self.domain()))
            .map(row -> row.member().node())
            .toVector()
            .appendAll(ownRow.map(row -> self.node()));
    if (current.equals(relays)) {
      return;
    }
    relays = current;
    Vector.of(FeedTable.values())
        .flatMap(table -> FeedService.find(context.registry(), table.tableName()))
        .forEach(service -> service.send(new FeedServiceMessage.RelaysChanged(current)));
  }

  private Map<NodeId, VersionedNodeRow> currentNodes() {
    return VersionedNodeRow.withoutReplaced(otherNodes, self.peerAddress());
  }

  private void publishMembers() {
    Vector<Member> current = currentNodes().values().map(node -> node.row().member()).toVector();
    if (current.equals(members)) {
      return;
    }
    members = current;
    context.registry().find(PeerService.NAME).send(new PeerServiceMessage.MembersChanged(members));
    context.registry().find(OperatorService.NAME).send(new OperatorMessage.MembersChanged(members));
    context
        .registry()
        .find(QuotaService.NAME)
        .send(new QuotaServiceMessage.NodeCountChanged(members.size() + 1));
    context
        .registry()
        .find(RoutingService.NAME)
        .send(new RoutingMessage.NodeCountChanged(members.size() + 1));
  }

  /** Sends changes of members and endpoints to the other services of this node. */
  private void publishChanges() {
    publishMembers();
    publishRelays();
    Map<ServiceId, Vector<Endpoint>> current =
        currentNodes()
            .values()
            .flatMap(node -> node.row().endpoints())
            .toVector()
            .appendAll(localEndpoints)
            .groupBy(Endpoint::service);
    Set<ServiceId> services =
        LinkedHashSet.ofAll(publishedEndpoints.keySet()).addAll(current.keySet());
    for (ServiceId service : services) {
      Vector<Endpoint> endpoints = current.getOrElse(service, Vector.empty());
      if (!endpoints.equals(publishedEndpoints.getOrElse(service, Vector.empty()))) {
        logger.atInfo().log("event=endpoints service=%s endpoints=%d", service, endpoints.size());
        context
            .registry()
            .find(RoutingService.NAME)
            .send(new RoutingMessage.EndpointsChanged(service, endpoints));
      }
    }
    publishedEndpoints = current;
  }

  private void writeIfNeeded() {
    Option<String> desired =
        localEndpoints.isEmpty() && (stopping || ownRow.isEmpty())
            ? Option.none()
            : Option.some(new NodeRow(self, localEndpoints, true).toJson());
    boolean upToDate = desired.equals(ownRow.flatMap(Row::value));
    if (writeInProgress || upToDate || knownVersion.isEmpty()) {
      return;
    }
    writeInProgress = true;
    StoreVersion expected = new StoreVersion(ownRowEra, ownRow.map(Row::version).getOrElse(0L));
    store
        .write(TABLE, new RowWrite(self.node().value(), desired, expected))
        .subscribe(
            result -> context.self().send(new DirectoryMessage.OwnRowWritten(desired, result)));
  }

  /**
   * Handles the result of a write.
   *
   * <p>A failed write may still have taken effect, or another write may have come first, so the row
   * is read back before the next write.
   */
  private void onOwnRowWritten(DirectoryMessage.OwnRowWritten written) {
    if (written.result().isLeft()) {
      Failure failure = written.result().getLeft();
      logger.atWarning().log(
          "event=node-row-not-written code=%d detail=%s",
          failure.code().number(), failure.detail());
      context
          .registry()
          .find(TimerService.NAME)
          .send(
              new TimerService.Once(
                  DirectoryService.NAME.text() + "-write", RETRY_DELAY_MILLIS, this::readOwnRow));
      return;
    }
    writeInProgress = false;
    long version = written.result().get();
    ownRow =
        written.value().map(value -> new Row(self.node().value(), Option.some(value), version));
    writeIfNeeded();
  }

  private void onOwnRowRead(Either<Failure, RowPage> page) {
    if (page.isLeft()) {
      onOwnRowWritten(
          new DirectoryMessage.OwnRowWritten(Option.none(), Either.left(page.getLeft())));
      return;
    }
    ownRowEra = page.get().version().era();
    ownRow = page.get().rows().find(row -> row.key().equals(self.node().value()));
    writeInProgress = false;
    writeIfNeeded();
  }

  private void readOwnRow() {
    store.read(TABLE).subscribe(page -> context.self().send(new DirectoryMessage.OwnRowRead(page)));
  }
}
