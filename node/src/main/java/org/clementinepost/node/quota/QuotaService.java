package org.clementinepost.node.quota;

import com.google.common.flogger.FluentLogger;
import io.vavr.Tuple;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.QuotaPeerMessage;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.SuspendAwareClock;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.kernel.TimerService;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.policy.quota.EmergencyAllowance;
import org.clementinepost.policy.quota.QuotaBuckets;
import org.clementinepost.policy.quota.SeatEvent;
import org.clementinepost.storage.rows.RowStore;

/**
 * Gives requests a token of their customer's rate and burst.
 *
 * <p>One node of the fleet, the keeper, gives out all tokens; the others ask it. While it cannot be
 * reached each node has a small allowance of its own.
 */
public final class QuotaService implements Behaviour<QuotaServiceMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<QuotaServiceMessage> NAME =
      ServiceName.of("quota", QuotaServiceMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String SWEEP_TIMER = "quota-sweep";
  private static final String FIRST_LOOK_TIMER = "quota-first-look";
  private static final long MAX_FIRST_LOOK_MILLIS = 1_500;
  private static final long SWEEP_MILLIS = 100;
  private static final long RENEWAL_LOOK_MILLIS = 1_000;
  private static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long GIVE_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final TaskContext<QuotaServiceMessage> context;
  private final Member self;
  private final SuspendAwareClock cautious;
  private final Seating seating;
  private final KeeperDesk desk;
  private final EmergencyAllowance allowance;
  private Snapshot snapshot = Snapshot.empty();
  private int nodes = 1;
  private QuotaBuckets emergency;
  private Map<Long, PendingAsk> pending = LinkedHashMap.empty();
  private long lastAsk;

  private QuotaService(
      TaskContext<QuotaServiceMessage> context,
      Member self,
      RowStore store,
      EmergencyAllowance allowance) {
    this.context = context;
    this.self = self;
    this.allowance = allowance;
    this.cautious = new SuspendAwareClock(context.clock());
    this.seating = new Seating(context, self, store, cautious, this::seated, this::unseated);
    this.desk = new KeeperDesk(seating, context.clock(), this::send);
    this.emergency = QuotaBuckets.emptyAt(context.clock().nowNanos());
    ConfigurationService.subscribe(context, QuotaServiceMessage.Configured::new);
    lookUpLater();
  }

  /** Nodes that start together do not all ask at once. */
  private void lookUpLater() {
    long delayMillis = context.random().nextLong(MAX_FIRST_LOOK_MILLIS);
    context.sendAfter(FIRST_LOOK_TIMER, delayMillis, new QuotaServiceMessage.LookUp());
  }

  /** Defines the service on a node. */
  public static ServiceDefinition<QuotaServiceMessage> definition(
      Member self, RowStore store, EmergencyAllowance allowance) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> new QuotaService(context, self, store, allowance));
  }

  /** Defines a service that lets every request through. */
  public static ServiceDefinition<QuotaServiceMessage> unlimited() {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context ->
            message -> {
              if (message instanceof QuotaServiceMessage.Take take) {
                take.reply().send(Either.right(take.head()));
              }
            });
  }

  @Override
  public void receive(QuotaServiceMessage message) {
    if (message instanceof QuotaServiceMessage.Take take) {
      take(take);
      return;
    }
    if (message instanceof QuotaServiceMessage.FromPeer fromPeer) {
      fromPeer(fromPeer.from(), fromPeer.message());
      return;
    }
    if (message instanceof QuotaServiceMessage.Configured configured) {
      snapshot = configured.snapshot();
      desk.configured(snapshot);
      return;
    }
    if (message instanceof QuotaServiceMessage.Members members) {
      nodes = members.nodes();
      return;
    }
    if (message instanceof QuotaServiceMessage.Sweep) {
      sweep();
      return;
    }
    if (message instanceof QuotaServiceMessage.LookUp) {
      decide(new SeatEvent.Missed(context.clock().nowNanos()));
      return;
    }
    decide(seatEvent(message));
  }

  private SeatEvent seatEvent(QuotaServiceMessage message) {
    if (message instanceof QuotaServiceMessage.SeatRead read) {
      return Seating.read(read.page(), context.clock().nowNanos());
    }
    if (message instanceof QuotaServiceMessage.SeatWritten written) {
      return Seating.written(written, context.clock().nowNanos());
    }
    if (message instanceof QuotaServiceMessage.Leave) {
      return new SeatEvent.Leave();
    }
    return new SeatEvent.Tick(cautious.nowNanos());
  }

  private void take(QuotaServiceMessage.Take take) {
    Option<Customer> customer = customer(take.head());
    if (customer.isEmpty()) {
      take.reply().send(Either.right(take.head()));
      return;
    }
    if (seating.isKeeper()) {
      takeKept(customer.get(), take.head(), take.reply());
      return;
    }
    long ask = ++lastAsk;
    PendingAsk waiting =
        new PendingAsk(take.head(), take.reply(), context.clock().nowNanos(), false, false);
    pending = pending.put(ask, waiting);
    if (pending.size() == 1) {
      sweepSoon();
    }
    if (seating.keeper().isEmpty()) {
      decide(new SeatEvent.Missed(context.clock().nowNanos()));
      return;
    }
    ask(ask, waiting);
  }

  private Option<Customer> customer(RequestHead head) {
    return head.customer().flatMap(snapshot.customers()::get).filter(Customer::isRateLimited);
  }

  private void takeKept(
      Customer customer, RequestHead head, Reply<Either<Failure, RequestHead>> reply) {
    if (!desk.take(customer)) {
      refuse(head, reply, ResultCode.QUOTA_EXCEEDED);
      return;
    }
    reply.send(Either.right(head));
  }

  private static void refuse(
      RequestHead head, Reply<Either<Failure, RequestHead>> reply, ResultCode code) {
    logger.atInfo().log(
        "event=quota-refused request=%s customer=%s code=%d",
        head.requestId(), head.customer().map(Object::toString).getOrElse(""), code.number());
    reply.send(Either.left(Failure.of(code)));
  }

  private void ask(long ask, PendingAsk waiting) {
    for (NodeId node : seating.keeper()) {
      pending = pending.put(ask, waiting.asAsked());
      send(node, new QuotaPeerMessage.Ask(ask, waiting.head().customer().get()));
    }
  }

  private void send(NodeId node, QuotaPeerMessage message) {
    context.registry().find(PeerService.NAME).send(new PeerServiceMessage.Send(node, message));
  }

  private void fromPeer(NodeId from, QuotaPeerMessage message) {
    if (message instanceof QuotaPeerMessage.Ask ask) {
      desk.asked(from, ask);
      return;
    }
    QuotaPeerMessage.Answer answer = (QuotaPeerMessage.Answer) message;
    if (!answer.keeper()) {
      notKeeper(from, answer.ask());
      return;
    }
    decide(new SeatEvent.Heard(context.clock().nowNanos()));
    Option<PendingAsk> waiting = pending.get(answer.ask());
    pending = pending.remove(answer.ask());
    waiting.forEach(known -> settle(known, answer.granted()));
  }

  /** Whoever has become the keeper since is asked instead. */
  private void notKeeper(NodeId asked, long ask) {
    Option<PendingAsk> waiting = pending.get(ask).map(PendingAsk::asNotAsked);
    waiting.forEach(known -> pending = pending.put(ask, known));
    if (seating.keeper().exists(node -> !node.equals(asked))) {
      waiting.forEach(known -> ask(ask, known));
      return;
    }
    decide(new SeatEvent.Missed(context.clock().nowNanos()));
  }

  private static void settle(PendingAsk waiting, boolean granted) {
    if (granted) {
      waiting.reply().send(Either.right(waiting.head()));
      return;
    }
    refuse(waiting.head(), waiting.reply(), ResultCode.QUOTA_EXCEEDED);
  }

  private void sweepSoon() {
    context.sendAfter(SWEEP_TIMER, SWEEP_MILLIS, new QuotaServiceMessage.Sweep());
  }

  /** A keeper that does not answer soon is made up for by the node's own allowance. */
  private void sweep() {
    long nowNanos = context.clock().nowNanos();
    for (var entry : pending) {
      long ageNanos = nowNanos - entry._2.startedNanos();
      if (ageNanos >= GIVE_UP_NANOS) {
        pending = pending.remove(entry._1);
        refuse(entry._2.head(), entry._2.reply(), ResultCode.QUOTA_UNAVAILABLE);
        continue;
      }
      if (ageNanos >= OVERDUE_NANOS && !entry._2.overdue()) {
        overdue(entry._1, entry._2, nowNanos);
      }
    }
    if (pending.isEmpty()) {
      return;
    }
    sweepSoon();
    if (seating.keeper().isEmpty()) {
      decide(new SeatEvent.Missed(nowNanos));
    }
  }

  private void overdue(long ask, PendingAsk waiting, long nowNanos) {
    decide(new SeatEvent.Missed(nowNanos));
    Option<Customer> customer = customer(waiting.head());
    Option<QuotaBuckets> after =
        customer.flatMap(known -> allowance.take(emergency, known, self.node(), nodes, nowNanos));
    if (customer.isDefined() && after.isEmpty()) {
      pending = pending.put(ask, waiting.asOverdue());
      return;
    }
    after.forEach(next -> emergency = next);
    pending = pending.remove(ask);
    logger.atInfo().log(
        "event=quota-emergency request=%s customer=%s",
        waiting.head().requestId(), waiting.head().customer().get());
    waiting.reply().send(Either.right(waiting.head()));
  }

  private void decide(SeatEvent event) {
    if (seating.decide(event)) {
      pending
          .filterValues(waiting -> !waiting.asked())
          .forEach((ask, waiting) -> ask(ask, waiting));
    }
    desk.answerHeld();
  }

  private void unseated() {
    logger.atWarning().log("event=quota-keeper-lost node=%s", self.node());
    context.registry().find(TimerService.NAME).send(new TimerService.Cancel(NAME.text()));
  }

  private void seated(boolean first) {
    logger.atInfo().log("event=quota-keeper node=%s first=%s", self.node(), first);
    desk.open(first);
    context.sendEvery(
        NAME.text(), RENEWAL_LOOK_MILLIS, RENEWAL_LOOK_MILLIS, new QuotaServiceMessage.Tick());
    Map<Long, PendingAsk> own = pending;
    pending = LinkedHashMap.empty();
    own.values()
        .map(waiting -> Tuple.of(waiting, customer(waiting.head())))
        .forEach(
            entry ->
                entry._2.fold(
                    () -> {
                      entry._1.reply().send(Either.right(entry._1.head()));
                      return null;
                    },
                    known -> {
                      takeKept(known, entry._1.head(), entry._1.reply());
                      return null;
                    }));
  }
}
