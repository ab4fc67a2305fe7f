package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.policy.host.RequestKind;

/**
 * The typical latencies and failure rates of a service, pooled over all its backend servers.
 *
 * <p>The normal fractions of failing and slow outcomes come from the last full window.
 *
 * @param latency the typical latencies
 * @param normalFailingFraction the fraction of failing outcomes that is considered normal
 * @param normalSlowFraction the fraction of slow outcomes that is considered normal
 * @param window the outcomes since the last window ended
 */
record ServiceBaseline(
    LatencyModel latency, double normalFailingFraction, double normalSlowFraction, Window window) {

  /** Counts the outcomes of the current window. */
  record Window(long endNanos, int outcomes, int failing, int slow) {}

  private static final int WINDOW_MIN_OUTCOMES = 200;
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final double MIN_NORMAL_FRACTION = 0.01;
  private static final double MAX_NORMAL_FRACTION = 0.25;
  private static final double INITIAL_NORMAL_FRACTION = 0.02;
  private static final double NORMAL_FRACTION_MARGIN = 2;

  /** Returns the baseline of a service without any outcomes. */
  static ServiceBaseline empty(LatencyModel latency) {
    return new ServiceBaseline(
        latency, INITIAL_NORMAL_FRACTION, INITIAL_NORMAL_FRACTION, new Window(0, 0, 0, 0));
  }

  /** Whether an attempt spent so long outside the server that this alone makes it overdue. */
  boolean isSlowPath(long micros) {
    return TimeUnit.MICROSECONDS.toNanos(micros) > latency.overdueAfterNanos();
  }

  /** Counts an outcome and updates the typical latencies. */
  ServiceBaseline withResponse(
      Outcome outcome, RequestKind kind, long serverMicros, long totalMicros, long nowNanos) {
    ServiceBaseline updated = withOutcome(outcome, nowNanos);
    return new ServiceBaseline(
        latency.withResponse(kind, serverMicros, totalMicros),
        updated.normalFailingFraction,
        updated.normalSlowFraction,
        updated.window);
  }

  /** Counts an outcome without a latency. */
  ServiceBaseline withOutcome(Outcome outcome, long nowNanos) {
    Window next =
        new Window(
            window.outcomes == 0 ? nowNanos + WINDOW_NANOS : window.endNanos,
            window.outcomes + 1,
            window.failing + (outcome.failing() ? 1 : 0),
            window.slow + (outcome.slow() ? 1 : 0));
    boolean ended = nowNanos >= next.endNanos && next.outcomes >= WINDOW_MIN_OUTCOMES;
    if (!ended) {
      return new ServiceBaseline(latency, normalFailingFraction, normalSlowFraction, next);
    }
    return new ServiceBaseline(
        latency,
        normalFraction(next.failing, next.outcomes),
        normalFraction(next.slow, next.outcomes),
        new Window(0, 0, 0, 0));
  }

  private static double normalFraction(int bad, int all) {
    double fraction = NORMAL_FRACTION_MARGIN * bad / all;
    return Math.min(MAX_NORMAL_FRACTION, Math.max(MIN_NORMAL_FRACTION, fraction));
  }
}
