package org.clementinepost.node.quota;

import com.google.common.flogger.FluentLogger;
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
import org.clementinepost.policy.quota.LeaderLeaseEvent;
import org.clementinepost.policy.quota.QuotaBuckets;
import org.clementinepost.storage.rows.RowStore;

/**
 * Limits the requests of each rate-limited customer to its rate and burst by tokens.
 *
 * <p>One node of the fleet, the quota leader, issues all tokens; the other nodes request them from
 * it. While the leader is unreachable, each node has a small allowance of its own.
 */
public final class QuotaService implements Behaviour<QuotaServiceMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<QuotaServiceMessage> NAME =
      ServiceName.of("quota", QuotaServiceMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String SWEEP_TIMER = "quota-sweep";
  private static final String FIRST_LOOKUP_TIMER = "quota-first-look";
  private static final long MAX_FIRST_LOOKUP_DELAY_MILLIS = 1_500;
  private static final long SWEEP_INTERVAL_MILLIS = 100;
  private static final long TICK_INTERVAL_MILLIS = 1_000;
  private static final long OVERDUE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long GIVE_UP_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final TaskContext<QuotaServiceMessage> context;
  private final Member self;
  private final SuspendAwareClock suspendAwareClock;
  private final LeaderElection leaderElection;
  private final TokenIssuer tokenIssuer;
  private final EmergencyAllowance allowance;
  private Snapshot snapshot = Snapshot.empty();
  private int nodeCount = 1;
  private QuotaBuckets emergencyBuckets;
  private Map<Long, PendingRequest> pendingRequests = LinkedHashMap.empty();
  private long lastRequestNumber;

  private QuotaService(
      TaskContext<QuotaServiceMessage> context,
      Member self,
      RowStore store,
      EmergencyAllowance allowance) {
    this.context = context;
    this.self = self;
    this.allowance = allowance;
    this.suspendAwareClock = new SuspendAwareClock(context.clock());
    this.leaderElection =
        new LeaderElection(
            context, self, store, suspendAwareClock, this::onBecameLeader, this::onLostLeadership);
    this.tokenIssuer = new TokenIssuer(leaderElection, context.clock(), this::send);
    this.emergencyBuckets = QuotaBuckets.emptyAt(context.clock().nowNanos());
    ConfigurationService.subscribe(context, QuotaServiceMessage.Configured::new);
    scheduleFirstLookup();
  }

  /** The delay is random, so that nodes that start together do not all read the store at once. */
  private void scheduleFirstLookup() {
    long delayMillis = context.random().nextLong(MAX_FIRST_LOOKUP_DELAY_MILLIS);
    context.sendAfter(FIRST_LOOKUP_TIMER, delayMillis, new QuotaServiceMessage.FindLeader());
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<QuotaServiceMessage> definition(
      Member self, RowStore store, EmergencyAllowance allowance) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> new QuotaService(context, self, store, allowance));
  }

  /** Returns the definition of a service that admits every request. */
  public static ServiceDefinition<QuotaServiceMessage> unlimited() {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context ->
            message -> {
              if (message instanceof QuotaServiceMessage.TakeToken take) {
                take.reply().send(Either.right(take.head()));
              }
            });
  }

  @Override
  public void receive(QuotaServiceMessage message) {
    if (message instanceof QuotaServiceMessage.TakeToken take) {
      onTakeToken(take);
      return;
    }
    if (message instanceof QuotaServiceMessage.FromPeer fromPeer) {
      onPeerMessage(fromPeer.from(), fromPeer.message());
      return;
    }
    if (message instanceof QuotaServiceMessage.Configured configured) {
      snapshot = configured.snapshot();
      tokenIssuer.onConfiguration(snapshot);
      return;
    }
    if (message instanceof QuotaServiceMessage.NodeCountChanged changed) {
      nodeCount = changed.nodes();
      return;
    }
    if (message instanceof QuotaServiceMessage.Sweep) {
      sweep();
      return;
    }
    if (message instanceof QuotaServiceMessage.FindLeader) {
      onLeaderLeaseEvent(new LeaderLeaseEvent.LeaderUnavailable(context.clock().nowNanos()));
      return;
    }
    onLeaderLeaseEvent(leaderLeaseEvent(message));
  }

  private LeaderLeaseEvent leaderLeaseEvent(QuotaServiceMessage message) {
    if (message instanceof QuotaServiceMessage.LeaseRowRead read) {
      return LeaderElection.rowReadEvent(
          read.page(), context.clock().nowNanos(), suspendAwareClock.nowNanos());
    }
    if (message instanceof QuotaServiceMessage.LeaseRowWritten written) {
      return LeaderElection.rowWrittenEvent(written, context.clock().nowNanos());
    }
    if (message instanceof QuotaServiceMessage.StoreEraChanged changed) {
      return new LeaderLeaseEvent.EraBegan(changed.era(), context.clock().nowNanos());
    }
    if (message instanceof QuotaServiceMessage.NodeStopping) {
      return new LeaderLeaseEvent.NodeStopping();
    }
    return new LeaderLeaseEvent.Tick(suspendAwareClock.nowNanos());
  }

  private void onTakeToken(QuotaServiceMessage.TakeToken take) {
    Option<Customer> customer = limitedCustomer(take.head());
    if (customer.isEmpty()) {
      take.reply().send(Either.right(take.head()));
      return;
    }
    if (leaderElection.isLeader()) {
      takeTokenAsLeader(customer.get(), take.head(), take.reply());
      return;
    }
    long requestNumber = ++lastRequestNumber;
    PendingRequest pending =
        new PendingRequest(
            take.head(),
            customer.get(),
            snapshot.version(),
            take.reply(),
            context.clock().nowNanos(),
            false,
            false);
    pendingRequests = pendingRequests.put(requestNumber, pending);
    if (pendingRequests.size() == 1) {
      scheduleSweep();
    }
    if (leaderElection.otherLeader().isEmpty()) {
      onLeaderLeaseEvent(new LeaderLeaseEvent.LeaderUnavailable(context.clock().nowNanos()));
      return;
    }
    sendToLeader(requestNumber, pending);
  }

  private Option<Customer> limitedCustomer(RequestHead head) {
    return head.customer().flatMap(snapshot.customers()::get).filter(Customer::isRateLimited);
  }

  private void takeTokenAsLeader(
      Customer customer, RequestHead head, Reply<Either<Failure, RequestHead>> reply) {
    if (!tokenIssuer.takeToken(customer)) {
      refuse(head, reply, quotaExceeded(tokenIssuer.returnWaitMillis(customer)));
      return;
    }
    reply.send(Either.right(head));
  }

  private static void refuse(
      RequestHead head, Reply<Either<Failure, RequestHead>> reply, Failure failure) {
    logger.atInfo().log(
        "event=quota-refused request=%s customer=%s code=%d",
        head.requestId(),
        head.customer().map(Object::toString).getOrElse(""),
        failure.code().number());
    reply.send(Either.left(failure));
  }

  private static Failure quotaExceeded(long returnWaitMillis) {
    return Failure.of(ResultCode.QUOTA_EXCEEDED).withRetryAfter(returnWaitMillis);
  }

  private void sendToLeader(long requestNumber, PendingRequest pending) {
    for (NodeId node : leaderElection.otherLeader()) {
      pendingRequests = pendingRequests.put(requestNumber, pending.asSentToLeader());
      send(
          node,
          new QuotaPeerMessage.TokenRequest(
              requestNumber, pending.customer(), pending.configurationVersion()));
    }
  }

  private void send(NodeId node, QuotaPeerMessage message) {
    context.registry().find(PeerService.NAME).send(new PeerServiceMessage.Send(node, message));
  }

  private void onPeerMessage(NodeId from, QuotaPeerMessage message) {
    if (message instanceof QuotaPeerMessage.TokenRequest request) {
      tokenIssuer.onTokenRequest(from, request);
      return;
    }
    QuotaPeerMessage.TokenResponse response = (QuotaPeerMessage.TokenResponse) message;
    if (!response.leader()) {
      onNotLeader(from, response.requestNumber());
      return;
    }
    onLeaderLeaseEvent(new LeaderLeaseEvent.LeaderResponded(context.clock().nowNanos()));
    Option<PendingRequest> pending = pendingRequests.get(response.requestNumber());
    pendingRequests = pendingRequests.remove(response.requestNumber());
    pending.forEach(known -> complete(known, response));
  }

  /** Sends the token request to the new leader if it is known, and looks it up otherwise. */
  private void onNotLeader(NodeId formerLeader, long requestNumber) {
    Option<PendingRequest> pending =
        pendingRequests.get(requestNumber).map(PendingRequest::asNotSentToLeader);
    pending.forEach(known -> pendingRequests = pendingRequests.put(requestNumber, known));
    onLeaderLeaseEvent(new LeaderLeaseEvent.LeaderResigned(formerLeader));
    if (leaderElection.otherLeader().exists(node -> !node.equals(formerLeader))) {
      pending.forEach(known -> sendToLeader(requestNumber, known));
      return;
    }
    onLeaderLeaseEvent(new LeaderLeaseEvent.LeaderUnavailable(context.clock().nowNanos()));
  }

  private static void complete(PendingRequest pending, QuotaPeerMessage.TokenResponse response) {
    if (response.granted()) {
      pending.reply().send(Either.right(pending.head()));
      return;
    }
    refuse(pending.head(), pending.reply(), quotaExceeded(response.waitMillis()));
  }

  private void scheduleSweep() {
    context.sendAfter(SWEEP_TIMER, SWEEP_INTERVAL_MILLIS, new QuotaServiceMessage.Sweep());
  }

  /**
   * Serves requests from the node's own allowance when the leader's response is overdue, and
   * refuses those that have waited too long.
   */
  private void sweep() {
    long nowNanos = context.clock().nowNanos();
    for (var entry : pendingRequests) {
      long ageNanos = nowNanos - entry._2.startedNanos();
      if (ageNanos >= GIVE_UP_AFTER_NANOS) {
        pendingRequests = pendingRequests.remove(entry._1);
        refuse(entry._2.head(), entry._2.reply(), Failure.of(ResultCode.QUOTA_UNAVAILABLE));
        continue;
      }
      if (ageNanos >= OVERDUE_AFTER_NANOS && !entry._2.overdue()) {
        onOverdue(entry._1, entry._2, nowNanos);
      }
    }
    if (pendingRequests.isEmpty()) {
      return;
    }
    scheduleSweep();
    if (leaderElection.otherLeader().isEmpty()) {
      onLeaderLeaseEvent(new LeaderLeaseEvent.LeaderUnavailable(nowNanos));
    }
  }

  private void onOverdue(long requestNumber, PendingRequest pending, long nowNanos) {
    onLeaderLeaseEvent(new LeaderLeaseEvent.LeaderUnavailable(nowNanos));
    Option<QuotaBuckets> bucketsAfter =
        allowance.take(emergencyBuckets, pending.customer(), self.node(), nodeCount, nowNanos);
    if (bucketsAfter.isEmpty()) {
      pendingRequests = pendingRequests.put(requestNumber, pending.asOverdue());
      return;
    }
    emergencyBuckets = bucketsAfter.get();
    pendingRequests = pendingRequests.remove(requestNumber);
    logger.atInfo().log(
        "event=quota-emergency request=%s customer=%s",
        pending.head().requestId(), pending.head().customer().get());
    pending.reply().send(Either.right(pending.head()));
  }

  private void onLeaderLeaseEvent(LeaderLeaseEvent event) {
    if (leaderElection.onEvent(event)) {
      pendingRequests
          .filterValues(pending -> !pending.sentToLeader())
          .forEach((requestNumber, pending) -> sendToLeader(requestNumber, pending));
    }
    tokenIssuer.answerDeferredRequests();
  }

  private void onLostLeadership() {
    logger.atWarning().log("event=quota-keeper-lost node=%s", self.node());
    context.registry().find(TimerService.NAME).send(new TimerService.Cancel(NAME.text()));
  }

  private void onBecameLeader(boolean firstLeader) {
    logger.atInfo().log("event=quota-keeper node=%s first=%s", self.node(), firstLeader);
    tokenIssuer.onBecameLeader(firstLeader);
    context.sendEvery(
        NAME.text(), TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, new QuotaServiceMessage.Tick());
    Map<Long, PendingRequest> waitingRequests = pendingRequests;
    pendingRequests = LinkedHashMap.empty();
    waitingRequests
        .values()
        .forEach(pending -> takeTokenAsLeader(pending.customer(), pending.head(), pending.reply()));
  }
}
