package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides how many tokens a holder is lent.
 *
 * <p>An ask says what the holder still has, so whatever else it was lent is spent or void: a holder
 * takes no answer but that to its latest ask. An ask that is a double, or older than one taken,
 * gets no answer.
 */
public final class HomePolicy implements Decision<HomeState, HomeEvent, HomeEffect> {
  /** Tokens lent ahead of requests leave this part of the home's for others. */
  private static final double AHEAD_PART = 0.5;

  /** A holder that was refused waits until this part of the burst could have been minted. */
  private static final double WAIT_PART_OF_BURST = 1.0 / 16;

  private static final long MIN_WAIT_MILLIS = 5;
  private static final long MAX_WAIT_MILLIS = 500;
  private static final long UNKNOWN_CUSTOMER_WAIT_MILLIS = 100;

  @Override
  public Step<HomeState, HomeEffect> decide(HomeState state, HomeEvent event) {
    if (event instanceof HomeEvent.Asked asked) {
      return asked(state, asked);
    }
    return Step.to(withoutIdle(state, (HomeEvent.Tick) event));
  }

  private static Step<HomeState, HomeEffect> asked(HomeState state, HomeEvent.Asked asked) {
    Map<CustomerId, Bucket> buckets = state.buckets();
    Vector<QuotaMessage.Grant> grants = Vector.empty();
    Vector<Long> notHome = Vector.empty();
    Bucket.Borrower borrower = new Bucket.Borrower(asked.from(), asked.incarnation());
    for (QuotaMessage.Ask ask : asked.asks()) {
      Option<Tenures.Tenure> tenure =
          asked.tenures().at(Partitions.of(ask.customer()), asked.nowNanos());
      if (tenure.isEmpty()) {
        notHome = notHome.append(ask.sequence());
        continue;
      }
      Option<Customer> customer = asked.customers().get(ask.customer());
      if (customer.isEmpty()) {
        grants =
            grants.append(
                new QuotaMessage.Grant(
                    ask.sequence(), tenure.get().epoch(), 0, UNKNOWN_CUSTOMER_WAIT_MILLIS));
        continue;
      }
      Bucket bucket = current(buckets, tenure.get(), customer.get(), asked.nowNanos());
      if (bucket.seen(borrower, ask.sequence())) {
        continue;
      }
      Lent lent = lend(bucket, customer.get(), borrower, ask, asked.nowNanos());
      buckets = buckets.put(ask.customer(), lent.bucket());
      grants = grants.append(lent.grant());
    }
    return Step.to(new HomeState(buckets), answers(asked, grants, notHome));
  }

  private record Lent(Bucket bucket, QuotaMessage.Grant grant) {}

  private static Bucket current(
      Map<CustomerId, Bucket> buckets, Tenures.Tenure tenure, Customer customer, long nowNanos) {
    return buckets
        .get(customer.id())
        .filter(bucket -> bucket.epoch() == tenure.epoch())
        .map(bucket -> bucket.at(customer, nowNanos))
        .getOrElse(() -> Bucket.fresh(tenure, customer, nowNanos));
  }

  private static Lent lend(
      Bucket bucket,
      Customer customer,
      Bucket.Borrower borrower,
      QuotaMessage.Ask ask,
      long nowNanos) {
    int lentBefore = bucket.loan(borrower).map(Bucket.Loan::tokens).getOrElse(0);
    int held = Math.min(ask.heldTokens(), lentBefore);
    int returned = Math.min(ask.returnedTokens(), lentBefore - held);
    double available = bucket.tokens() + returned;
    int granted = granted(ask, available);
    double left = available - granted;
    Bucket.Loan loan =
        new Bucket.Loan(
            ask.sequence(),
            held + granted,
            nowNanos + GrantLease.LEASE_NANOS + GrantLease.MARGIN_NANOS);
    return new Lent(
        bucket.with(left, borrower, loan),
        new QuotaMessage.Grant(
            ask.sequence(), bucket.epoch(), granted, waitMillis(customer, left)));
  }

  /** Waiting requests come first; tokens ahead of them leave some for other holders. */
  private static int granted(QuotaMessage.Ask ask, double available) {
    int whole = (int) Math.floor(available);
    int waiting = Math.min(ask.waitingRequests(), whole);
    int ahead = (int) Math.floor(available * AHEAD_PART);
    return Math.min(Math.max(waiting, ask.wantedTokens()), Math.max(waiting, ahead));
  }

  private static long waitMillis(Customer customer, double left) {
    if (left >= 1 || customer.ratePerSecond() <= 0) {
      return left >= 1 ? 0 : MAX_WAIT_MILLIS;
    }
    double goal = Math.max(1, customer.burstRequests() * WAIT_PART_OF_BURST);
    double seconds = (goal - left) / customer.ratePerSecond();
    long millis = (long) Math.ceil(seconds * TimeUnit.SECONDS.toMillis(1));
    return Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, millis));
  }

  private static Vector<HomeEffect> answers(
      HomeEvent.Asked asked, Vector<QuotaMessage.Grant> grants, Vector<Long> notHome) {
    Vector<HomeEffect> effects = Vector.empty();
    if (!grants.isEmpty()) {
      effects =
          effects.append(
              new HomeEffect.Answer(
                  asked.from(), new QuotaMessage.Grants(asked.incarnation(), grants)));
    }
    if (!notHome.isEmpty()) {
      effects =
          effects.append(
              new HomeEffect.Answer(
                  asked.from(),
                  new QuotaMessage.NotHome(asked.incarnation(), notHome, Option.none())));
    }
    return effects;
  }

  private static HomeState withoutIdle(HomeState state, HomeEvent.Tick tick) {
    Map<CustomerId, Bucket> kept = HashMap.empty();
    for (CustomerId id : state.buckets().keySet()) {
      Option<Customer> customer = tick.customers().get(id);
      Option<Tenures.Tenure> tenure = tick.tenures().owned().get(Partitions.of(id));
      Bucket bucket = state.buckets().get(id).get();
      if (customer.isEmpty() || tenure.isEmpty() || bucket.epoch() != tenure.get().epoch()) {
        continue;
      }
      Bucket now = bucket.at(customer.get(), tick.nowNanos());
      if (!now.replaceable(tenure.get(), customer.get(), tick.nowNanos())) {
        kept = kept.put(id, now);
      }
    }
    return new HomeState(kept);
  }
}
