package org.clementinepost.policy.host;

import java.util.concurrent.TimeUnit;

/**
 * Whether a backend server answers as it should, judged by its host from every answer.
 *
 * <p>A healthy server fails so seldom, and a sick one so often, that one failure is enough to
 * suspect it. A suspected one gets a single trial request at a time, which must be able to run
 * elsewhere if it fails.
 *
 * @param suspected whether it is held back
 * @param trialSuccesses the answers in a row that were good while it was suspected
 * @param nextTrialNanos when the next trial may be sent
 * @param lastSuccessSentNanos when the last request was sent to it that it answered well
 */
record ServerHealth(
    boolean suspected, int trialSuccesses, long nextTrialNanos, long lastSuccessSentNanos) {
  private static final int TRIAL_SUCCESSES_TO_CLEAR = 2;
  private static final long TRIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** How long a trial may go without an answer before another is sent. */
  private static final long TRIAL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** How long a good answer speaks for a server. */
  private static final long SUCCESS_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  static final ServerHealth INITIAL = new ServerHealth(false, 0, 0, NEVER_NANOS);

  /** Whether it has answered well of late. */
  boolean hasRecentSuccess(long nowNanos) {
    return !suspected && nowNanos - lastSuccessSentNanos < SUCCESS_TTL_NANOS;
  }

  boolean isTrialDue(long nowNanos) {
    return nowNanos >= nextTrialNanos;
  }

  /** A trial has been sent; the next one waits for its answer. */
  ServerHealth withRequestSent(long nowNanos) {
    return suspected
        ? new ServerHealth(
            true, trialSuccesses, nowNanos + TRIAL_TIMEOUT_NANOS, lastSuccessSentNanos)
        : this;
  }

  /**
   * An answer has come.
   *
   * @param sentNanos when its request was sent
   */
  ServerHealth withOutcome(boolean good, long sentNanos, long nowNanos) {
    if (!good) {
      return new ServerHealth(true, 0, nowNanos + TRIAL_BACKOFF_NANOS, lastSuccessSentNanos);
    }
    long proven = Math.max(lastSuccessSentNanos, sentNanos);
    if (!suspected || trialSuccesses + 1 >= TRIAL_SUCCESSES_TO_CLEAR) {
      return new ServerHealth(false, 0, 0, proven);
    }
    return new ServerHealth(true, trialSuccesses + 1, nowNanos, proven);
  }
}
