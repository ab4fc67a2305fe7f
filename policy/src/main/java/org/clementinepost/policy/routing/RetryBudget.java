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
  private static final long RETRY_MILLI_TOKENS = 1_000;
  private static final long REQUEST_MILLI_TOKENS = 150;

  /** All nodes of a small fleet together stay within the slack that the users allow. */
  private static final long CAP_MILLI_TOKENS = 2_000;

  static final RetryBudget FULL = new RetryBudget(CAP_MILLI_TOKENS);

  RetryBudget withRequest() {
    return milliTokens == CAP_MILLI_TOKENS
        ? this
        : new RetryBudget(Math.min(CAP_MILLI_TOKENS, milliTokens + REQUEST_MILLI_TOKENS));
  }

  boolean allowsRetry() {
    return milliTokens >= RETRY_MILLI_TOKENS;
  }

  RetryBudget withRetry() {
    return new RetryBudget(milliTokens - RETRY_MILLI_TOKENS);
  }
}
