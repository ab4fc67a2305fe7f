package org.clementinepost.node.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.BiConsumer;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.QuotaPeerMessage;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.policy.quota.QuotaBuckets;

/**
 * Gives out the tokens while this node is the keeper, and answers the other nodes' questions.
 *
 * <p>Questions that come while the seat is on its way back wait until the store has it: whoever is
 * told that this node is the keeper no more must find it so there.
 */
final class TokenIssuer {
  private static final int MAX_DEFERRED_REQUESTS = 1_024;

  /** A question that waits, and who asked it. */
  private record DeferredRequest(NodeId from, QuotaPeerMessage.TokenRequest request) {}

  private final LeaderElection leaderElection;
  private final MonotonicClock clock;
  private final BiConsumer<NodeId, QuotaPeerMessage> sender;
  private Snapshot snapshot = Snapshot.empty();
  private QuotaBuckets buckets;
  private Vector<DeferredRequest> deferredRequests = Vector.empty();

  TokenIssuer(
      LeaderElection seating, MonotonicClock clock, BiConsumer<NodeId, QuotaPeerMessage> sender) {
    this.leaderElection = seating;
    this.clock = clock;
    this.sender = sender;
    this.buckets = QuotaBuckets.emptyAt(clock.nowNanos());
  }

  void onConfiguration(Snapshot next) {
    snapshot = next;
  }

  /** Begins to give out tokens; nobody can have taken any when there was no keeper before. */
  void onBecameLeader(boolean first) {
    long nowNanos = clock.nowNanos();
    buckets = first ? QuotaBuckets.fullAt(nowNanos) : QuotaBuckets.emptyAt(nowNanos);
  }

  /** Takes a token of a customer; tells whether there was one. */
  boolean takeToken(Customer customer) {
    Option<QuotaBuckets> after = buckets.take(customer, clock.nowNanos());
    after.forEach(next -> buckets = next);
    return after.isDefined();
  }

  void onTokenRequest(NodeId from, QuotaPeerMessage.TokenRequest ask) {
    if (leaderElection.isReleasing() && deferredRequests.size() < MAX_DEFERRED_REQUESTS) {
      deferredRequests = deferredRequests.append(new DeferredRequest(from, ask));
      return;
    }
    sender.accept(from, response(ask));
  }

  /** Answers the questions that have waited, once the seat is back in the store. */
  void answerDeferredRequests() {
    if (leaderElection.isReleasing() || deferredRequests.isEmpty()) {
      return;
    }
    deferredRequests.forEach(waiting -> sender.accept(waiting.from(), response(waiting.request())));
    deferredRequests = Vector.empty();
  }

  private QuotaPeerMessage response(QuotaPeerMessage.TokenRequest ask) {
    if (!leaderElection.isLeader()) {
      return new QuotaPeerMessage.TokenResponse(ask.requestNumber(), false, false, 0);
    }
    Option<Customer> customer = snapshot.customers().get(ask.customer()).filter(Customer::limited);
    if (customer.isEmpty() || takeToken(customer.get())) {
      return new QuotaPeerMessage.TokenResponse(ask.requestNumber(), true, true, 0);
    }
    return new QuotaPeerMessage.TokenResponse(
        ask.requestNumber(), true, false, buckets.waitMillis(customer.get(), clock.nowNanos()));
  }
}
