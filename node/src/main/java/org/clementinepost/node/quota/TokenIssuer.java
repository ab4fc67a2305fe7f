package org.clementinepost.node.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.BiConsumer;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.QuotaPeerMessage;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.policy.quota.KnownCustomers;
import org.clementinepost.policy.quota.QuotaBuckets;
import org.clementinepost.policy.quota.ReturnSchedule;

/**
 * Issues tokens while this node is the quota leader, and answers token requests of other nodes.
 *
 * <p>The reply that this node is not the leader makes the requester take the lease over. Token
 * requests that arrive while a write of the lease row is in flight are therefore deferred until it
 * is known how the write ended: the row must no longer hold this node's lease, nor may this node
 * become the leader by it.
 */
final class TokenIssuer {
  private static final int MAX_DEFERRED_REQUESTS = 1_024;

  /** A token request that is answered after the release of the lease, and its sender. */
  private record DeferredRequest(NodeId from, QuotaPeerMessage.TokenRequest request) {}

  private final LeaderElection leaderElection;
  private final MonotonicClock clock;
  private final BiConsumer<NodeId, QuotaPeerMessage> sender;
  private KnownCustomers customers = KnownCustomers.none();
  private QuotaBuckets buckets;
  private ReturnSchedule returnSchedule = ReturnSchedule.EMPTY;
  private Vector<DeferredRequest> deferredRequests = Vector.empty();

  TokenIssuer(
      LeaderElection leaderElection,
      MonotonicClock clock,
      BiConsumer<NodeId, QuotaPeerMessage> sender) {
    this.leaderElection = leaderElection;
    this.clock = clock;
    this.sender = sender;
    this.buckets = QuotaBuckets.emptyAt(clock.nowNanos());
  }

  void onConfiguration(Snapshot newSnapshot) {
    customers = customers.withSnapshot(newSnapshot);
  }

  /**
   * Starts to issue tokens. The buckets start full only for the first leader, since no tokens can
   * have been issued before.
   */
  void onBecameLeader(boolean firstLeader) {
    long nowNanos = clock.nowNanos();
    buckets = firstLeader ? QuotaBuckets.fullAt(nowNanos) : QuotaBuckets.emptyAt(nowNanos);
  }

  /** Gives a refused request of a customer a time to come back, in milliseconds from now. */
  long returnWaitMillis(Customer customer) {
    long nowNanos = clock.nowNanos();
    Customer newest = customers.newest(customer);
    ReturnSchedule.Slot slot =
        returnSchedule.next(newest, buckets.waitMillis(newest, nowNanos), nowNanos);
    returnSchedule = slot.schedule();
    return slot.waitMillis();
  }

  /** Takes a token of a customer; returns whether there was one, or none is needed. */
  boolean takeToken(Customer customer) {
    Customer newest = customers.newest(customer);
    if (!newest.isRateLimited()) {
      return true;
    }
    Option<QuotaBuckets> bucketsAfter = buckets.take(newest, clock.nowNanos());
    bucketsAfter.forEach(next -> buckets = next);
    return bucketsAfter.isDefined();
  }

  void onTokenRequest(NodeId from, QuotaPeerMessage.TokenRequest request) {
    if (!isUndecided()) {
      sender.accept(from, response(request));
      return;
    }
    // Beyond the maximum the requester gets no reply, and asks again.
    if (deferredRequests.size() < MAX_DEFERRED_REQUESTS) {
      deferredRequests = deferredRequests.append(new DeferredRequest(from, request));
    }
  }

  private boolean isUndecided() {
    return leaderElection.isReleasing() || leaderElection.mayBecomeLeader();
  }

  /** Answers the deferred token requests once it is known how the write of the lease row ended. */
  void answerDeferredRequests() {
    if (isUndecided() || deferredRequests.isEmpty()) {
      return;
    }
    deferredRequests.forEach(
        deferred -> sender.accept(deferred.from(), response(deferred.request())));
    deferredRequests = Vector.empty();
  }

  private QuotaPeerMessage response(QuotaPeerMessage.TokenRequest request) {
    if (!leaderElection.isLeader()) {
      return new QuotaPeerMessage.TokenResponse(request.requestNumber(), false, false, 0);
    }
    customers = customers.learn(request.customer(), request.configurationVersion());
    if (takeToken(request.customer())) {
      return new QuotaPeerMessage.TokenResponse(request.requestNumber(), true, true, 0);
    }
    return new QuotaPeerMessage.TokenResponse(
        request.requestNumber(), true, false, returnWaitMillis(request.customer()));
  }
}
