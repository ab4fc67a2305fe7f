package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;

/**
 * One customer's tokens as its home counts them.
 *
 * <p>Tokens at the home and tokens lent out together never exceed the burst: that is what may be
 * spent at once. New ones are minted at the rate, and only below the burst. Whatever is spent in an
 * interval was in existence at its start or was minted in it, hence {@code burst + rate * time}.
 *
 * @param epoch the epoch of the tenure under which it was made
 * @param tokens tokens at the home
 * @param mintedNanos the time up to which tokens have been minted
 * @param loans what each holder may still spend, as far as the home knows
 */
record Bucket(long epoch, double tokens, long mintedNanos, Map<Borrower, Loan> loans) {
  private static final double NANOS_PER_SECOND = 1e9;

  /** A holder in one of its lives; an earlier life's tokens are counted until they lapse. */
  record Borrower(NodeId node, long incarnation) {}

  /**
   * What a holder may still spend.
   *
   * @param sequence the holder's last ask
   * @param tokens tokens that it may still spend
   * @param lapsesNanos when it certainly spends them no more
   */
  record Loan(long sequence, int tokens, long lapsesNanos) {}

  /**
   * The bucket of a customer that nothing is remembered of.
   *
   * <p>It holds what one would that has not been used since the tenure began.
   */
  static Bucket fresh(Tenures.Tenure tenure, Customer customer, long nowNanos) {
    if (tenure.first()) {
      return new Bucket(tenure.epoch(), customer.burstRequests(), nowNanos, HashMap.empty());
    }
    return new Bucket(tenure.epoch(), 0, tenure.mintsFromNanos(), HashMap.empty())
        .at(customer, nowNanos);
  }

  /** The bucket at a later time: tokens minted, lapsed loans forgotten. */
  Bucket at(Customer customer, long nowNanos) {
    Bucket bucket = this;
    while (true) {
      Option<Long> lapseNanos = bucket.loans.values().map(Loan::lapsesNanos).min();
      if (lapseNanos.isEmpty() || nowNanos < lapseNanos.get()) {
        return bucket.mintedUntil(customer, nowNanos);
      }
      bucket = bucket.mintedUntil(customer, lapseNanos.get()).withoutLapsed(lapseNanos.get());
    }
  }

  private Bucket withoutLapsed(long nowNanos) {
    return new Bucket(
        epoch, tokens, mintedNanos, loans.filterValues(loan -> nowNanos < loan.lapsesNanos()));
  }

  private Bucket mintedUntil(Customer customer, long nowNanos) {
    double room = Math.max(0, customer.burstRequests() - lentTokens());
    double added = customer.ratePerSecond() * Math.max(0, nowNanos - mintedNanos);
    double next = Math.min(room, tokens + added / NANOS_PER_SECOND);
    return new Bucket(epoch, next, Math.max(mintedNanos, nowNanos), loans);
  }

  /** Tokens that holders may still spend. */
  int lentTokens() {
    return loans.values().map(Loan::tokens).sum().intValue();
  }

  /** The loan of a holder. */
  Option<Loan> loan(Borrower borrower) {
    return loans.get(borrower);
  }

  /** Whether an ask is a double of one taken before, or older. */
  boolean seen(Borrower borrower, long sequence) {
    return loans.get(borrower).exists(loan -> sequence <= loan.sequence());
  }

  Bucket with(double nextTokens, Borrower borrower, Loan loan) {
    return new Bucket(epoch, nextTokens, mintedNanos, loans.put(borrower, loan));
  }

  /** Whether a fresh bucket would hold no more than this one. */
  boolean replaceable(Tenures.Tenure tenure, Customer customer, long nowNanos) {
    return loans.isEmpty() && fresh(tenure, customer, nowNanos).tokens <= tokens;
  }
}
