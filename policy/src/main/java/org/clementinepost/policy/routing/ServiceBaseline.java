package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;

/**
 * The typical latencies and failure rates of a service, pooled over all its backend servers.
 *
 * <p>The medians are estimated in small steps up or down, so that an outlier moves them no more
 * than any other response does. The normal fractions of failing and slow outcomes come from the
 * last full window.
 *
 * @param sampleCount the number of responses so far, up to the minimum that is needed for detection
 * @param medianServerMicros the estimated median time of a request at the backend server
 * @param medianTotalMicros the estimated median time of an attempt as seen at the ingress
 * @param normalFailingFraction the fraction of failing outcomes that is considered normal
 * @param normalSlowFraction the fraction of slow outcomes that is considered normal
 * @param window the outcomes since the last window ended
 */
record ServiceBaseline(
    int sampleCount,
    double medianServerMicros,
    double medianTotalMicros,
    double normalFailingFraction,
    double normalSlowFraction,
    Window window) {

  /** Counts the outcomes of the current window. */
  record Window(long endNanos, int outcomes, int failing, int slow) {}

  private static final int MIN_SAMPLES = 20;
  private static final int WINDOW_MIN_OUTCOMES = 200;
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final double SLOW_RATIO = 4;
  private static final double OVERDUE_RATIO = 5;
  private static final long OVERDUE_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final double MIN_MEDIAN_STEP_RATIO = 0.02;
  private static final double MIN_NORMAL_FRACTION = 0.01;
  private static final double MAX_NORMAL_FRACTION = 0.25;
  private static final double INITIAL_NORMAL_FRACTION = 0.02;
  private static final double NORMAL_FRACTION_MARGIN = 2;

  static final ServiceBaseline EMPTY =
      new ServiceBaseline(
          0, 0, 0, INITIAL_NORMAL_FRACTION, INITIAL_NORMAL_FRACTION, new Window(0, 0, 0, 0));

  boolean hasEnoughSamples() {
    return sampleCount >= MIN_SAMPLES;
  }

  boolean isSlow(long micros) {
    return hasEnoughSamples() && micros > SLOW_RATIO * medianServerMicros;
  }

  /** Whether an attempt spent so long outside the server that this alone makes it overdue. */
  boolean isSlowPath(long micros) {
    return hasEnoughSamples() && TimeUnit.MICROSECONDS.toNanos(micros) > overdueAfterNanos();
  }

  /** Returns the age at which a request without a response becomes overdue. */
  long overdueAfterNanos() {
    if (!hasEnoughSamples()) {
      return Long.MAX_VALUE;
    }
    return Math.max(OVERDUE_MIN_NANOS, (long) (OVERDUE_RATIO * medianTotalMicros * 1_000));
  }

  /** Counts an outcome and updates the medians with its latencies. */
  ServiceBaseline withResponse(
      Outcome outcome, long newServerMicros, long newTotalMicros, long nowNanos) {
    int count = Math.min(MIN_SAMPLES, sampleCount + 1);
    double step = Math.max(MIN_MEDIAN_STEP_RATIO, 1.0 / count);
    ServiceBaseline updated = withOutcome(outcome, nowNanos);
    return new ServiceBaseline(
        count,
        stepMedian(medianServerMicros, newServerMicros, step),
        stepMedian(medianTotalMicros, newTotalMicros, step),
        updated.normalFailingFraction,
        updated.normalSlowFraction,
        updated.window);
  }

  private static double stepMedian(double median, long sample, double step) {
    if (median == 0) {
      return sample;
    }
    return sample > median ? median * (1 + step) : median / (1 + step);
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
      return new ServiceBaseline(
          sampleCount,
          medianServerMicros,
          medianTotalMicros,
          normalFailingFraction,
          normalSlowFraction,
          next);
    }
    return new ServiceBaseline(
        sampleCount,
        medianServerMicros,
        medianTotalMicros,
        normalFraction(next.failing, next.outcomes),
        normalFraction(next.slow, next.outcomes),
        new Window(0, 0, 0, 0));
  }

  private static double normalFraction(int bad, int all) {
    double fraction = NORMAL_FRACTION_MARGIN * bad / all;
    return Math.min(MAX_NORMAL_FRACTION, Math.max(MIN_NORMAL_FRACTION, fraction));
  }
}
