package org.clementinepost.policy.routing;

/**
 * The retries of a service that a node may still send, so that retries do not overload a service
 * that is already failing.
 *
 * <p>A request that reached a backend server adds a part of a token. A retry takes a whole one when
 * it is placed, and gives it back if it did not reach a backend server.
 *
 * @param milliTokens the remaining budget, in thousandths of a retry
 */
record RetryBudget(long milliTokens) {
  static RetryBudget initial(RetryLimits limits) {
    return new RetryBudget(limits.initialMilliTokens());
  }

  RetryBudget withRequest(RetryLimits limits) {
    return add(limits.milliTokensPerRequest(), limits);
  }

  boolean allowsRetry() {
    return milliTokens >= RetryLimits.MILLI_TOKENS_PER_RETRY;
  }

  RetryBudget withRetry() {
    return new RetryBudget(milliTokens - RetryLimits.MILLI_TOKENS_PER_RETRY);
  }

  /** Returns the budget after a retry that did not reach a backend server. */
  RetryBudget withoutRetry(RetryLimits limits) {
    return add(RetryLimits.MILLI_TOKENS_PER_RETRY, limits);
  }

  private RetryBudget add(long more, RetryLimits limits) {
    return new RetryBudget(Math.min(limits.maxMilliTokens(), milliTokens + more));
  }
}
