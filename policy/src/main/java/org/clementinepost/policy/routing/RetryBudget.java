package org.clementinepost.policy.routing;

/**
 * Bounds the retries of a service to a part of its requests.
 *
 * <p>Each request pays in a part of a token and each retry takes a whole one, so that a sick
 * service is not made sicker by requests that come again.
 *
 * @param milliTokens what is left
 */
record RetryBudget(long milliTokens) {
  private static final long MILLI_TOKENS_PER_RETRY = 1_000;
  private static final long MILLI_TOKENS_PER_REQUEST = 150;

  /** All nodes of a small fleet together stay within the slack that the users allow. */
  private static final long MAX_MILLI_TOKENS = 2_000;

  static final RetryBudget FULL = new RetryBudget(MAX_MILLI_TOKENS);

  RetryBudget withRequest() {
    return milliTokens == MAX_MILLI_TOKENS
        ? this
        : new RetryBudget(Math.min(MAX_MILLI_TOKENS, milliTokens + MILLI_TOKENS_PER_REQUEST));
  }

  boolean allowsRetry() {
    return milliTokens >= MILLI_TOKENS_PER_RETRY;
  }

  RetryBudget withRetry() {
    return new RetryBudget(milliTokens - MILLI_TOKENS_PER_RETRY);
  }
}
