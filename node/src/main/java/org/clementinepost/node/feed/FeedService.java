package org.clementinepost.node.feed;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.api.peer.FeedPage;
import org.clementinepost.api.peer.FeedPeerMessage;
import org.clementinepost.api.peer.FeedRow;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.Step;
import org.clementinepost.kernel.SuspendAwareClock;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.node.quota.QuotaServiceMessage;
import org.clementinepost.policy.feed.ConfirmedPage;
import org.clementinepost.policy.feed.FeedEffect;
import org.clementinepost.policy.feed.FeedEvent;
import org.clementinepost.policy.feed.FeedPolicy;
import org.clementinepost.policy.feed.FeedState;
import org.clementinepost.policy.feed.FeedSubscriber;
import org.clementinepost.storage.rows.Row;
import org.clementinepost.storage.rows.RowPage;
import org.clementinepost.storage.rows.RowStore;
import reactor.core.publisher.Mono;

/** Follows one table of the store: runs {@link FeedPolicy} as a task. */
public final class FeedService implements Behaviour<FeedServiceMessage> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The longest wait that another node may ask for. */
  private static final long MAX_PEER_WAIT_MILLIS = 5_000;

  /** A larger page is not relayed; the node that asked reads the store. */
  private static final int MAX_RELAYED_PAGE_BYTES = 1 << 20;

  private final TaskContext<FeedServiceMessage> context;
  private final FeedTable table;
  private final RowStore store;
  private final SuspendAwareClock suspendAwareClock;
  private final FeedPolicy policy;
  private FeedState state = FeedState.initial();

  /** The store's clock in the last answer to the service of this node that uses the table. */
  private long localClockMillis = Long.MIN_VALUE;

  private FeedService(
      TaskContext<FeedServiceMessage> context, FeedTable table, NodeId self, RowStore store) {
    this.context = context;
    this.table = table;
    this.store = store;
    this.suspendAwareClock = new SuspendAwareClock(context.clock());
    this.policy = new FeedPolicy(table.tableName(), self, table.timing());
    context.self().send(new FeedServiceMessage.Tick());
  }

  /** Returns the name of the feed service of a table. */
  static ServiceName<FeedServiceMessage> nameOf(FeedTable table) {
    return ServiceName.of("feed-" + table.tableName(), FeedServiceMessage.class);
  }

  /** Returns the address of the feed service of a table, if nodes follow a table of that name. */
  public static Option<Address<FeedServiceMessage>> find(Registry registry, String tableName) {
    return FeedTable.ofName(tableName).map(table -> registry.find(nameOf(table)));
  }

  /** Returns the definition of the feed service of a table. */
  public static ServiceDefinition<FeedServiceMessage> definition(
      FeedTable table, NodeId self, RowStore store) {
    return new ServiceDefinition<>(
        nameOf(table),
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new FeedService(context, table, self, store));
  }

  @Override
  public void receive(FeedServiceMessage message) {
    if (message instanceof FeedServiceMessage.FromPeer fromPeer) {
      onPeerMessage(fromPeer.from(), fromPeer.message());
      return;
    }
    if (message instanceof FeedServiceMessage.Subscribe subscribe) {
      onSubscribe(subscribe);
      return;
    }
    if (message instanceof FeedServiceMessage.StoreRead read) {
      decide(
          new FeedEvent.Fetched(
              read.number(),
              Option.none(),
              read.result(),
              Option.some(read.requestNanos()),
              context.random().nextDouble(),
              nowNanos()));
      return;
    }
    if (message instanceof FeedServiceMessage.RelaysChanged changed) {
      decide(new FeedEvent.RelaysChanged(changed.relays(), nowNanos()));
      return;
    }
    decide(new FeedEvent.Tick(context.random().nextDouble(), nowNanos()));
  }

  private long nowNanos() {
    return context.clock().nowNanos();
  }

  private void onSubscribe(FeedServiceMessage.Subscribe subscribe) {
    FeedSubscriber subscriber =
        new FeedSubscriber(
            subscribe.version().getOrElse(FeedSubscriber.NOTHING_KNOWN),
            localClockMillis,
            nowNanos() + TimeUnit.MILLISECONDS.toNanos(subscribe.waitMillis()),
            result -> {
              result.forEach(page -> localClockMillis = page.page().storeClockMillis());
              subscribe.reply().send(result);
            });
    decide(new FeedEvent.Subscribed(subscriber, nowNanos()));
  }

  private void onPeerMessage(NodeId from, FeedPeerMessage message) {
    if (message instanceof FeedPeerMessage.Request request) {
      long waitMillis = Math.max(0, Math.min(MAX_PEER_WAIT_MILLIS, request.waitMillis()));
      FeedSubscriber subscriber =
          new FeedSubscriber(
              new StoreVersion(request.version().era(), Math.max(0, request.version().version())),
              request.storeClockMillis(),
              nowNanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis),
              result -> respond(from, request, result));
      decide(new FeedEvent.Subscribed(subscriber, nowNanos()));
      return;
    }
    FeedPeerMessage.Response response = (FeedPeerMessage.Response) message;
    decide(
        new FeedEvent.Fetched(
            response.requestNumber(),
            Option.some(from),
            response.page().toEither(() -> Failure.of(ResultCode.PLATFORM_UNAVAILABLE)),
            Option.none(),
            context.random().nextDouble(),
            nowNanos()));
  }

  private void respond(
      NodeId to, FeedPeerMessage.Request request, Either<Failure, ConfirmedPage> result) {
    Option<FeedPage> page =
        result.toOption().map(ConfirmedPage::page).filter(FeedService::mayBeRelayed);
    send(to, new FeedPeerMessage.Response(request.table(), request.requestNumber(), page));
  }

  private static boolean mayBeRelayed(FeedPage page) {
    int bytes = 0;
    for (FeedRow row : page.rows()) {
      bytes += row.key().length() + row.value().map(String::length).getOrElse(0);
    }
    return bytes <= MAX_RELAYED_PAGE_BYTES;
  }

  private void send(NodeId to, FeedPeerMessage message) {
    context.registry().find(PeerService.NAME).send(new PeerServiceMessage.Send(to, message));
  }

  private void decide(FeedEvent event) {
    Step<FeedState, FeedEffect> step = policy.decide(state, event);
    state = step.state();
    step.effects().forEach(this::perform);
  }

  private void perform(FeedEffect effect) {
    if (effect instanceof FeedEffect.ReadStore read) {
      readStore(read);
      return;
    }
    if (effect instanceof FeedEffect.AskRelay ask) {
      send(
          ask.relay(),
          new FeedPeerMessage.Request(
              table.tableName(),
              ask.number(),
              ask.version(),
              ask.storeClockMillis(),
              ask.waitMillis()));
      return;
    }
    if (effect instanceof FeedEffect.Answer answer) {
      answer.subscriber().reply().send(answer.result());
      return;
    }
    if (effect instanceof FeedEffect.EraChanged changed) {
      logger.atInfo().log("event=feed-era table=%s era=%d", table.tableName(), changed.era());
      context
          .registry()
          .find(QuotaService.NAME)
          .send(new QuotaServiceMessage.StoreEraChanged(changed.era()));
      return;
    }
    if (effect instanceof FeedEffect.SourceChanged changed) {
      logger.atInfo().log(
          "event=feed-source table=%s source=%s",
          table.tableName(), changed.relay().map(NodeId::value).getOrElse("store"));
      return;
    }
    FeedEffect.ScheduleTick tick = (FeedEffect.ScheduleTick) effect;
    context.sendAfter(nameOf(table).text(), tick.delayMillis(), new FeedServiceMessage.Tick());
  }

  private void readStore(FeedEffect.ReadStore read) {
    long requestNanos = suspendAwareClock.nowNanos();
    boolean complete = read.version().isEmpty();
    Mono<Either<Failure, RowPage>> response =
        read.version()
            .map(version -> store.changesSince(table.tableName(), version, read.waitMillis()))
            .getOrElse(() -> store.read(table.tableName()));
    response
        .map(result -> result.map(page -> toFeedPage(page, complete)))
        .subscribe(
            result ->
                context
                    .self()
                    .send(new FeedServiceMessage.StoreRead(read.number(), requestNanos, result)));
  }

  private static FeedPage toFeedPage(RowPage page, boolean complete) {
    return new FeedPage(
        page.rows().map(FeedService::toFeedRow), page.version(), page.storeClockMillis(), complete);
  }

  private static FeedRow toFeedRow(Row row) {
    return new FeedRow(row.key(), row.value(), row.version());
  }
}
