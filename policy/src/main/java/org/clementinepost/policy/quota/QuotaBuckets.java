package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;

/**
 * The tokens of every customer, as far as one node may give them out.
 *
 * <p>Every bucket is empty at the start, unless nobody gave out tokens before: whoever did has left
 * none.
 *
 * @param buckets those that have been asked for
 * @param startNanos when this node began to give them out
 */
public record QuotaBuckets(Map<CustomerId, TokenBucket> buckets, long startNanos) {
  private static final long FULL_REFILL_NANOS = TimeUnit.HOURS.toNanos(1);

  /** All buckets, empty as of a moment. */
  public static QuotaBuckets emptyAt(long nowNanos) {
    return new QuotaBuckets(HashMap.empty(), nowNanos);
  }

  /** All buckets, full as of a moment, for the first that ever gives out tokens. */
  public static QuotaBuckets fullAt(long nowNanos) {
    return new QuotaBuckets(HashMap.empty(), nowNanos - FULL_REFILL_NANOS);
  }

  private TokenBucket bucket(CustomerId customer) {
    return buckets.getOrElse(customer, new TokenBucket(0, startNanos));
  }

  /** The buckets after a token of a customer was taken; none when it has none left. */
  public Option<QuotaBuckets> take(
      CustomerId customer, double ratePerSecond, double capTokens, long nowNanos) {
    return bucket(customer)
        .take(ratePerSecond, capTokens, nowNanos)
        .map(next -> new QuotaBuckets(buckets.put(customer, next), startNanos));
  }

  /** Takes a token of a customer's whole rate and burst. */
  public Option<QuotaBuckets> take(Customer customer, long nowNanos) {
    return take(customer.id(), customer.ratePerSecond(), capacityTokens(customer), nowNanos);
  }

  /** How long a customer over its rate has to wait for its next token. */
  public long waitMillis(Customer customer, long nowNanos) {
    return bucket(customer.id())
        .waitMillis(customer.ratePerSecond(), capacityTokens(customer), nowNanos);
  }

  /** A customer without a burst may still send one request at a time. */
  private static double capacityTokens(Customer customer) {
    return Math.max(1, customer.burstRequests());
  }
}
