package org.clementinepost.policy.routing;

/**
 * Limits the retries of a service to a fraction of its requests.
 *
 * <p>Each first attempt adds a fraction of a token and each retry takes a whole one, so that
 * retries do not overload a service that is already failing.
 *
 * @param milliTokens the remaining budget, in thousandths of a token
 */
record RetryBudget(long milliTokens) {
  private static final long MILLI_TOKENS_PER_RETRY = 1_000;
  private static final long MILLI_TOKENS_PER_REQUEST = 150;

  /** Limits a burst of retries by all nodes of a small fleet to an acceptable extra load. */
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
