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
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.kernel.TimerService;
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
 * Knows the fleet from one small table, in which each node keeps a row of its own.
 *
 * <p>A row is written when what it says changes, never to show that its node lives; whether a node
 * can be reached shows when a request is sent there. A node that finds its row gone or altered
 * writes it again.
 */
public final class TableDirectoryService implements Behaviour<DirectoryMessage> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TABLE = "nodes";
  private static final long WAIT_MILLIS = 6_000;

  /** Rows change many at a time, and one answer may tell of them all. */
  private static final long GATHER_MILLIS = 700;

  private static final long RETRY_MILLIS = 500;

  private record Known(NodeRow row, long version) {}

  private final TaskContext<DirectoryMessage> context;
  private final Member self;
  private final RowStore store;
  private final StoreAvailability contact;
  private Option<Long> followed = Option.none();
  private Map<NodeId, Known> others = HashMap.empty();
  private Vector<Member> members = Vector.empty();
  private Map<ServiceId, Vector<Endpoint>> told = HashMap.empty();
  private Vector<Endpoint> hosted = Vector.empty();
  private Option<Row> ownRow = Option.none();
  private boolean writing;
  private boolean leaving;

  private TableDirectoryService(
      TaskContext<DirectoryMessage> context, Member self, RowStore store) {
    this.context = context;
    this.self = self;
    this.store = store;
    this.contact =
        new StoreAvailability(
            DirectoryService.NAME.text(),
            context.registry(),
            RETRY_MILLIS,
            () -> context.self().send(new DirectoryMessage.Tick()));
    follow();
  }

  /** Defines the service on a node. */
  public static ServiceDefinition<DirectoryMessage> definition(Member self, RowStore store) {
    return new ServiceDefinition<>(
        DirectoryService.NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new TableDirectoryService(context, self, store));
  }

  private void follow() {
    boolean whole = followed.isEmpty();
    followed
        .map(version -> store.changesSince(TABLE, version, WAIT_MILLIS))
        .getOrElse(() -> store.read(TABLE))
        .subscribe(page -> context.self().send(new DirectoryMessage.Read(whole, page)));
  }

  @Override
  public void receive(DirectoryMessage message) {
    if (message instanceof DirectoryMessage.Hosted now) {
      hosted = now.endpoints();
      tell();
      writeIfNeeded();
      return;
    }
    if (message instanceof DirectoryMessage.Wanted wanted) {
      wanted.known().send(false);
      return;
    }
    if (message instanceof DirectoryMessage.Read read) {
      read.page().fold(this::failed, page -> read(read.whole(), page));
      return;
    }
    if (message instanceof DirectoryMessage.Written written) {
      written(written);
      return;
    }
    if (message instanceof DirectoryMessage.OwnRowRead own) {
      ownRowRead(own.page());
      return;
    }
    if (message instanceof DirectoryMessage.Tick) {
      follow();
      return;
    }
    if (message instanceof DirectoryMessage.Leave) {
      leaving = true;
      hosted = Vector.empty();
      writeIfNeeded();
    }
  }

  private Void failed(Failure failure) {
    if (failure.code() == ResultCode.PLATFORM_HISTORY_LOST) {
      logger.atInfo().log("event=directory-history-lost code=%d", failure.code().number());
      followed = Option.none();
      follow();
      return null;
    }
    // What was written while the store was away is not known until the table is read anew.
    followed = Option.none();
    contact.onFailure(failure);
    return null;
  }

  private Void read(boolean whole, RowPage page) {
    contact.onSuccess();
    if (whole) {
      others = HashMap.empty();
      ownRow = Option.none();
    }
    followed = Option.some(page.version());
    page.rows().forEach(this::row);
    tell();
    writeIfNeeded();
    if (page.rows().isEmpty()) {
      follow();
      return null;
    }
    contact.callAfter(GATHER_MILLIS);
    return null;
  }

  private void row(Row row) {
    if (row.key().equals(self.node().value())) {
      ownRow = row.value().isDefined() ? Option.some(row) : Option.none();
      return;
    }
    NodeId node = new NodeId(row.key());
    if (row.value().isEmpty()) {
      others = others.remove(node);
      return;
    }
    NodeRow.read(row.key(), row.value().get())
        .fold(
            this::unreadable,
            read -> {
              others = others.put(node, new Known(read, row.version()));
              return null;
            });
  }

  private Void unreadable(Failure failure) {
    logger.atWarning().log(
        "event=node-row-unreadable code=%d detail=%s", failure.code().number(), failure.detail());
    return null;
  }

  private void tellMembers() {
    Vector<Member> now = others.values().map(known -> known.row().member()).toVector();
    if (now.equals(members)) {
      return;
    }
    members = now;
    context.registry().find(PeerService.NAME).send(new PeerServiceMessage.Members(members));
    context.registry().find(OperatorService.NAME).send(new OperatorMessage.MembersChanged(members));
    context
        .registry()
        .find(QuotaService.NAME)
        .send(new QuotaServiceMessage.NodeCountChanged(members.size() + 1));
  }

  /** Tells the other services what has changed. */
  private void tell() {
    tellMembers();
    Map<ServiceId, Vector<Endpoint>> now =
        others
            .values()
            .flatMap(known -> known.row().endpoints())
            .toVector()
            .appendAll(hosted)
            .groupBy(Endpoint::service);
    Set<ServiceId> services = LinkedHashSet.ofAll(told.keySet()).addAll(now.keySet());
    for (ServiceId service : services) {
      Vector<Endpoint> endpoints = now.getOrElse(service, Vector.empty());
      if (!endpoints.equals(told.getOrElse(service, Vector.empty()))) {
        logger.atInfo().log("event=endpoints service=%s endpoints=%d", service, endpoints.size());
        context
            .registry()
            .find(RoutingService.NAME)
            .send(new RoutingMessage.EndpointsChanged(service, endpoints));
      }
    }
    told = now;
  }

  private void writeIfNeeded() {
    Option<String> wanted =
        hosted.isEmpty() && (leaving || ownRow.isEmpty())
            ? Option.none()
            : Option.some(new NodeRow(self, hosted).json());
    boolean inStore = wanted.equals(ownRow.flatMap(Row::value));
    if (writing || inStore || followed.isEmpty()) {
      return;
    }
    writing = true;
    long expected = ownRow.map(Row::version).getOrElse(0L);
    store
        .write(TABLE, new RowWrite(self.node().value(), wanted, expected))
        .subscribe(result -> context.self().send(new DirectoryMessage.Written(wanted, result)));
  }

  /** A write that may have taken effect, or that another one has preceded, is looked up first. */
  private void written(DirectoryMessage.Written written) {
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
                  DirectoryService.NAME.text() + "-write", RETRY_MILLIS, this::readAnew));
      return;
    }
    writing = false;
    long version = written.result().get();
    ownRow =
        written.value().map(value -> new Row(self.node().value(), Option.some(value), version));
    writeIfNeeded();
  }

  private void ownRowRead(Either<Failure, RowPage> page) {
    if (page.isLeft()) {
      written(new DirectoryMessage.Written(Option.none(), Either.left(page.getLeft())));
      return;
    }
    ownRow = page.get().rows().find(row -> row.key().equals(self.node().value()));
    writing = false;
    writeIfNeeded();
  }

  private void readAnew() {
    store.read(TABLE).subscribe(page -> context.self().send(new DirectoryMessage.OwnRowRead(page)));
  }
}
