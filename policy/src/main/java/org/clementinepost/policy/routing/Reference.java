package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;

/**
 * What is typical of a service, pooled over all its backend servers.
 *
 * <p>The medians are followed by small steps up or down, so that one outlier moves them as little
 * as any other answer. What part of the answers is normally failing or slow comes from the last
 * full window.
 *
 * @param answers the answers seen, up to the number that is enough to judge by
 * @param serverMicros the median time of a backend server
 * @param totalMicros the median time of an attempt as ingress sees it
 * @param normalFailingFraction the part of failing answers that is taken as normal
 * @param normalSlowFraction the part of slow answers that is taken as normal
 * @param window the answers since the last window ended
 */
record Reference(
    int answers,
    double serverMicros,
    double totalMicros,
    double normalFailingFraction,
    double normalSlowFraction,
    Window window) {

  /** Counts answers until the window ends. */
  record Window(long endNanos, int answers, int failing, int slow) {}

  private static final int ENOUGH_ANSWERS = 50;
  private static final int WINDOW_MIN_ANSWERS = 200;
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final double SLOW_RATIO = 4;
  private static final double OVERDUE_RATIO = 5;
  private static final long OVERDUE_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final double MEDIAN_STEP = 0.02;
  private static final double NORMAL_MIN_FRACTION = 0.01;
  private static final double NORMAL_MAX_FRACTION = 0.25;
  private static final double NORMAL_AT_FIRST_FRACTION = 0.02;
  private static final double NORMAL_MARGIN = 2;

  static final Reference UNKNOWN =
      new Reference(
          0, 0, 0, NORMAL_AT_FIRST_FRACTION, NORMAL_AT_FIRST_FRACTION, new Window(0, 0, 0, 0));

  boolean known() {
    return answers >= ENOUGH_ANSWERS;
  }

  boolean isSlow(long micros) {
    return known() && micros > SLOW_RATIO * serverMicros;
  }

  /** Whether the time beside the backend server's own is far beyond what an attempt takes. */
  boolean isSlowPath(long micros) {
    return known() && TimeUnit.MICROSECONDS.toNanos(micros) > overdueNanos();
  }

  /** The age at which a request without an answer counts as slow. */
  long overdueNanos() {
    if (!known()) {
      return Long.MAX_VALUE;
    }
    return Math.max(OVERDUE_MIN_NANOS, (long) (OVERDUE_RATIO * totalMicros * 1_000));
  }

  Reference with(Outcome outcome, long newServerMicros, long newTotalMicros, long nowNanos) {
    int count = Math.min(ENOUGH_ANSWERS, answers + 1);
    double step = Math.max(MEDIAN_STEP, 1.0 / count);
    Reference counted = counted(outcome, nowNanos);
    return new Reference(
        count,
        stepped(serverMicros, newServerMicros, step),
        stepped(totalMicros, newTotalMicros, step),
        counted.normalFailingFraction,
        counted.normalSlowFraction,
        counted.window);
  }

  private static double stepped(double median, long sample, double step) {
    if (median == 0) {
      return sample;
    }
    return sample > median ? median * (1 + step) : median / (1 + step);
  }

  /** Counts an outcome that tells no time. */
  Reference counted(Outcome outcome, long nowNanos) {
    Window next =
        new Window(
            window.answers == 0 ? nowNanos + WINDOW_NANOS : window.endNanos,
            window.answers + 1,
            window.failing + (outcome.failing() ? 1 : 0),
            window.slow + (outcome.slow() ? 1 : 0));
    boolean ended = nowNanos >= next.endNanos && next.answers >= WINDOW_MIN_ANSWERS;
    if (!ended) {
      return new Reference(
          answers, serverMicros, totalMicros, normalFailingFraction, normalSlowFraction, next);
    }
    return new Reference(
        answers,
        serverMicros,
        totalMicros,
        normal(next.failing, next.answers),
        normal(next.slow, next.answers),
        new Window(0, 0, 0, 0));
  }

  private static double normal(int bad, int all) {
    double fraction = NORMAL_MARGIN * bad / all;
    return Math.min(NORMAL_MAX_FRACTION, Math.max(NORMAL_MIN_FRACTION, fraction));
  }
}
