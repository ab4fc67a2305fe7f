package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * Tokens that come at a rate up to a cap; each request takes one.
 *
 * @param tokens the tokens that were there
 * @param refilledAtNanos when they were counted
 */
record TokenBucket(double tokens, long refilledAtNanos) {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private TokenBucket refill(double ratePerSecond, double capTokens, long nowNanos) {
    double come = ratePerSecond * Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
    return new TokenBucket(Math.min(capTokens, tokens + come), Math.max(refilledAtNanos, nowNanos));
  }

  /** The bucket after a token was taken; none when there is no whole one. */
  Option<TokenBucket> take(double ratePerSecond, double capTokens, long nowNanos) {
    TokenBucket now = refill(ratePerSecond, capTokens, nowNanos);
    return now.tokens < 1
        ? Option.none()
        : Option.some(new TokenBucket(now.tokens - 1, now.refilledAtNanos));
  }

  /** How long it takes until the next token is whole. */
  long waitMillis(double ratePerSecond, double capTokens, long nowNanos) {
    double missing = 1 - refill(ratePerSecond, capTokens, nowNanos).tokens;
    return (long) Math.ceil(Math.max(0, missing) / ratePerSecond * TimeUnit.SECONDS.toMillis(1));
  }
}
