package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * A token bucket: tokens are added at a rate up to a capacity, and each request takes one.
 *
 * @param tokens the tokens at the last refill
 * @param refilledAtNanos the time of the last refill
 */
record TokenBucket(double tokens, long refilledAtNanos) {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private TokenBucket refill(double ratePerSecond, double capacityTokens, long nowNanos) {
    double added = ratePerSecond * Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
    return new TokenBucket(
        Math.min(capacityTokens, tokens + added), Math.max(refilledAtNanos, nowNanos));
  }

  /** Takes a token; returns the bucket without it, or none if there is no whole token. */
  Option<TokenBucket> take(double ratePerSecond, double capacityTokens, long nowNanos) {
    TokenBucket refilled = refill(ratePerSecond, capacityTokens, nowNanos);
    return refilled.tokens < 1
        ? Option.none()
        : Option.some(new TokenBucket(refilled.tokens - 1, refilled.refilledAtNanos));
  }

  /** Returns the time until a whole token is available. */
  long waitMillis(double ratePerSecond, double capacityTokens, long nowNanos) {
    double missing = 1 - refill(ratePerSecond, capacityTokens, nowNanos).tokens;
    return (long) Math.ceil(Math.max(0, missing) / ratePerSecond * TimeUnit.SECONDS.toMillis(1));
  }
}
