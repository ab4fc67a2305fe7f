package org.clementinepost.policy.host;

import java.util.concurrent.TimeUnit;

/**
 * The health of a backend server, which its host derives from the outcome of every request.
 *
 * <p>A healthy server fails so rarely, and an unhealthy one so often, that a single failure makes
 * it suspected. A suspected server gets one trial request at a time. The trial must be idempotent,
 * so that it can run elsewhere if it fails; {@link HealthAdmissionPolicy} states the exceptions.
 *
 * @param suspected whether only trial requests are admitted
 * @param trialSuccesses the number of consecutive successes while the server is suspected
 * @param nextTrialNanos when the next trial may be sent
 * @param lastSuccessSentNanos when the latest request that succeeded was sent
 */
record ServerHealth(
    boolean suspected, int trialSuccesses, long nextTrialNanos, long lastSuccessSentNanos) {
  private static final int TRIAL_SUCCESSES_TO_CLEAR = 2;
  private static final long TRIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** How long a trial may stay unanswered before another one is sent. */
  private static final long TRIAL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** How long a success counts as recent. */
  private static final long SUCCESS_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  static final ServerHealth INITIAL = new ServerHealth(false, 0, 0, NEVER_NANOS);

  /** Whether the server is not suspected and has succeeded recently. */
  boolean hasRecentSuccess(long nowNanos) {
    return !suspected && nowNanos - lastSuccessSentNanos < SUCCESS_TTL_NANOS;
  }

  boolean isTrialDue(long nowNanos) {
    return nowNanos >= nextTrialNanos;
  }

  /** Returns the health after a request was sent; if it is a trial, the next one waits for it. */
  ServerHealth withRequestSent(long nowNanos) {
    return suspected
        ? new ServerHealth(
            true, trialSuccesses, nowNanos + TRIAL_TIMEOUT_NANOS, lastSuccessSentNanos)
        : this;
  }

  /**
   * Returns the health after the outcome of a request.
   *
   * @param success whether the request succeeded
   * @param sentNanos when the request was sent
   */
  ServerHealth withOutcome(boolean success, long sentNanos, long nowNanos) {
    if (!success) {
      return new ServerHealth(true, 0, nowNanos + TRIAL_BACKOFF_NANOS, lastSuccessSentNanos);
    }
    long lastSuccessNanos = Math.max(lastSuccessSentNanos, sentNanos);
    if (!suspected || trialSuccesses + 1 >= TRIAL_SUCCESSES_TO_CLEAR) {
      return new ServerHealth(false, 0, 0, lastSuccessNanos);
    }
    return new ServerHealth(true, trialSuccesses + 1, nowNanos, lastSuccessNanos);
  }
}
