package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;

/**
 * The token buckets of all customers at one node.
 *
 * <p>All buckets start empty, because an earlier leader may have issued every token. They start
 * full only if no node has issued tokens before.
 *
 * @param buckets the buckets from which a token has been taken
 * @param startNanos as of when all other buckets are empty
 */
public record QuotaBuckets(Map<CustomerId, TokenBucket> buckets, long startNanos) {
  /** The age at which an empty bucket is assumed to have refilled. */
  private static final long FULL_REFILL_NANOS = TimeUnit.HOURS.toNanos(1);

  /** Returns buckets that are empty at the given time. */
  public static QuotaBuckets emptyAt(long nowNanos) {
    return new QuotaBuckets(HashMap.empty(), nowNanos);
  }

  /** Returns buckets that are full at the given time, for the first node that issues tokens. */
  public static QuotaBuckets fullAt(long nowNanos) {
    return new QuotaBuckets(HashMap.empty(), nowNanos - FULL_REFILL_NANOS);
  }

  private TokenBucket bucket(CustomerId customer) {
    return buckets.getOrElse(customer, new TokenBucket(0, startNanos));
  }

  /** Takes a token; returns the buckets without it, or none if the customer has no token left. */
  public Option<QuotaBuckets> take(
      CustomerId customer, double ratePerSecond, double capacityTokens, long nowNanos) {
    return bucket(customer)
        .take(ratePerSecond, capacityTokens, nowNanos)
        .map(next -> new QuotaBuckets(buckets.put(customer, next), startNanos));
  }

  /** Takes a token from a bucket with the rate and burst of the customer. */
  public Option<QuotaBuckets> take(Customer customer, long nowNanos) {
    return take(customer.id(), customer.ratePerSecond(), capacityTokens(customer), nowNanos);
  }

  /** Returns the time until the customer's next token is available. */
  public long waitMillis(Customer customer, long nowNanos) {
    return bucket(customer.id())
        .waitMillis(customer.ratePerSecond(), capacityTokens(customer), nowNanos);
  }

  /** At least one, so that a customer without a burst can send one request at a time. */
  private static double capacityTokens(Customer customer) {
    return Math.max(1, customer.burstRequests());
  }
}
