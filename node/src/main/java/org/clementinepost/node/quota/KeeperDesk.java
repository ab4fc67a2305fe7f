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
final class KeeperDesk {
  private static final int MAX_HELD_ASKS = 1_024;

  /** A question that waits, and who asked it. */
  private record HeldAsk(NodeId from, QuotaPeerMessage.Ask ask) {}

  private final Seating seating;
  private final MonotonicClock clock;
  private final BiConsumer<NodeId, QuotaPeerMessage> sender;
  private Snapshot snapshot = Snapshot.empty();
  private QuotaBuckets buckets;
  private Vector<HeldAsk> held = Vector.empty();

  KeeperDesk(Seating seating, MonotonicClock clock, BiConsumer<NodeId, QuotaPeerMessage> sender) {
    this.seating = seating;
    this.clock = clock;
    this.sender = sender;
    this.buckets = QuotaBuckets.emptyAt(clock.nowNanos());
  }

  void configured(Snapshot next) {
    snapshot = next;
  }

  /** Begins to give out tokens; nobody can have taken any when there was no keeper before. */
  void open(boolean first) {
    long nowNanos = clock.nowNanos();
    buckets = first ? QuotaBuckets.fullAt(nowNanos) : QuotaBuckets.emptyAt(nowNanos);
  }

  /** Takes a token of a customer; tells whether there was one. */
  boolean take(Customer customer) {
    Option<QuotaBuckets> after = buckets.take(customer, clock.nowNanos());
    after.forEach(next -> buckets = next);
    return after.isDefined();
  }

  void asked(NodeId from, QuotaPeerMessage.Ask ask) {
    if (seating.isHandingOver() && held.size() < MAX_HELD_ASKS) {
      held = held.append(new HeldAsk(from, ask));
      return;
    }
    sender.accept(from, answer(ask));
  }

  /** Answers the questions that have waited, once the seat is back in the store. */
  void answerHeld() {
    if (seating.isHandingOver() || held.isEmpty()) {
      return;
    }
    held.forEach(waiting -> sender.accept(waiting.from(), answer(waiting.ask())));
    held = Vector.empty();
  }

  private QuotaPeerMessage answer(QuotaPeerMessage.Ask ask) {
    if (!seating.isKeeper()) {
      return new QuotaPeerMessage.Answer(ask.ask(), false, false, 0);
    }
    Option<Customer> customer =
        snapshot.customers().get(ask.customer()).filter(Customer::isRateLimited);
    if (customer.isEmpty() || take(customer.get())) {
      return new QuotaPeerMessage.Answer(ask.ask(), true, true, 0);
    }
    return new QuotaPeerMessage.Answer(
        ask.ask(), true, false, buckets.waitMillis(customer.get(), clock.nowNanos()));
  }
}
