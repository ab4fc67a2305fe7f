package org.clementinepost.policy.host;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * The health of a backend server, which its host derives from the outcome of every request.
 *
 * <p>A healthy server fails so rarely, and an unhealthy one so often, that a single failure makes
 * it suspected. The exception is a server that has just succeeded: since many requests run there,
 * its rare failures are frequent in time. One failure makes it doubted, and a second one without a
 * success between them makes it suspected.
 *
 * <p>A suspected server gets one trial request at a time. The trial must be idempotent, so that it
 * can run elsewhere if it fails; {@link HealthAdmissionPolicy} states the exceptions.
 *
 * @param suspected whether only trial requests are admitted
 * @param doubtedSinceNanos when the server failed; none if it has succeeded since then
 * @param trialSuccesses the number of consecutive successes while the server is suspected
 * @param nextTrialNanos when the next trial may be sent
 * @param lastSuccessSentNanos when the latest request that succeeded was sent
 */
record ServerHealth(
    boolean suspected,
    Option<Long> doubtedSinceNanos,
    int trialSuccesses,
    long nextTrialNanos,
    long lastSuccessSentNanos) {
  private static final int TRIAL_SUCCESSES_TO_CLEAR = 2;
  private static final long TRIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** How long a trial may stay unanswered before another one is sent. */
  private static final long TRIAL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** How long a success counts as recent. */
  private static final long SUCCESS_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /**
   * How long ago a request that succeeded was sent at most for the next failure to be put down to
   * chance. In a longer time the server may well have turned unhealthy.
   */
  private static final long CHANCE_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  static final ServerHealth INITIAL = trusted(Option.none(), NEVER_NANOS);

  private static ServerHealth trusted(Option<Long> doubtedSinceNanos, long lastSuccessSentNanos) {
    return new ServerHealth(false, doubtedSinceNanos, 0, 0, lastSuccessSentNanos);
  }

  private static ServerHealth asSuspected(int successes, long trialNanos, long lastSuccessNanos) {
    return new ServerHealth(true, Option.none(), successes, trialNanos, lastSuccessNanos);
  }

  /** Whether the server is not suspected and has succeeded recently, and not failed since. */
  boolean hasRecentSuccess(long nowNanos) {
    return !suspected
        && doubtedSinceNanos.isEmpty()
        && nowNanos - lastSuccessSentNanos < SUCCESS_TTL_NANOS;
  }

  boolean isTrialDue(long nowNanos) {
    return nowNanos >= nextTrialNanos;
  }

  /** Returns the health after a request was sent; if it is a trial, the next one waits for it. */
  ServerHealth withRequestSent(long nowNanos) {
    return suspected
        ? asSuspected(trialSuccesses, nowNanos + TRIAL_TIMEOUT_NANOS, lastSuccessSentNanos)
        : this;
  }

  /**
   * Returns the health after the outcome of a request.
   *
   * @param success whether the request succeeded
   * @param sentNanos when the request was sent
   */
  ServerHealth withOutcome(boolean success, long sentNanos, long nowNanos) {
    return success ? withSuccess(sentNanos, nowNanos) : withFailure(nowNanos);
  }

  private ServerHealth withFailure(long nowNanos) {
    boolean byChance =
        !suspected
            && doubtedSinceNanos.isEmpty()
            && nowNanos - lastSuccessSentNanos < CHANCE_FAILURE_NANOS;
    return byChance
        ? trusted(Option.some(nowNanos), lastSuccessSentNanos)
        : asSuspected(0, nowNanos + TRIAL_BACKOFF_NANOS, lastSuccessSentNanos);
  }

  private ServerHealth withSuccess(long sentNanos, long nowNanos) {
    long lastSuccessNanos = Math.max(lastSuccessSentNanos, sentNanos);
    if (suspected && trialSuccesses + 1 < TRIAL_SUCCESSES_TO_CLEAR) {
      return asSuspected(trialSuccesses + 1, nowNanos, lastSuccessNanos);
    }
    return trusted(doubtedSinceNanos.filter(since -> sentNanos < since), lastSuccessNanos);
  }
}
