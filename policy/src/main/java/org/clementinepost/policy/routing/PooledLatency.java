package org.clementinepost.policy.routing;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.policy.host.RequestKind;

/**
 * The median latencies of a service, pooled over all kinds of requests.
 *
 * <p>The medians are estimated in small steps up or down, so that an outlier moves them no more
 * than any other response does.
 *
 * @param sampleCount the number of responses so far, up to the minimum that is needed for detection
 * @param medianServerMicros the estimated median time of a request at the backend server
 * @param medianTotalMicros the estimated median time of an attempt as seen at the ingress
 */
record PooledLatency(int sampleCount, double medianServerMicros, double medianTotalMicros)
    implements LatencyModel {
  static final PooledLatency EMPTY = new PooledLatency(0, 0, 0);

  private static final int MIN_SAMPLES = 20;
  private static final double SLOW_RATIO = 4;
  private static final double OVERDUE_RATIO = 5;
  private static final long OVERDUE_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final double MIN_MEDIAN_STEP_RATIO = 0.02;

  private boolean hasEnoughSamples() {
    return sampleCount >= MIN_SAMPLES;
  }

  @Override
  public LatencyModel withResponse(RequestKind kind, long serverMicros, long totalMicros) {
    int count = Math.min(MIN_SAMPLES, sampleCount + 1);
    double step = Math.max(MIN_MEDIAN_STEP_RATIO, 1.0 / count);
    return new PooledLatency(
        count,
        stepMedian(medianServerMicros, serverMicros, step),
        stepMedian(medianTotalMicros, totalMicros, step));
  }

  private static double stepMedian(double median, long sample, double step) {
    if (median == 0) {
      return sample;
    }
    return sample > median ? median * (1 + step) : median / (1 + step);
  }

  @Override
  public Outcome answered(RequestKind kind, long serverMicros, RunTimeEstimates ownTimes) {
    return new Outcome(false, isSlow(kind, serverMicros), Option.none());
  }

  @Override
  public Option<Long> usualTotalMillis(RequestKind kind) {
    return Option.none();
  }

  @Override
  public boolean isSlow(RequestKind kind, long micros) {
    return hasEnoughSamples() && micros > SLOW_RATIO * medianServerMicros;
  }

  @Override
  public long overdueAfterNanos() {
    if (!hasEnoughSamples()) {
      return Long.MAX_VALUE;
    }
    return Math.max(OVERDUE_MIN_NANOS, (long) (OVERDUE_RATIO * medianTotalMicros * 1_000));
  }

  @Override
  public boolean countsOverdueAttempts() {
    return true;
  }

  @Override
  public double runningNats(RequestKind kind, long ageMicros, RunTimeEstimates ownTimes) {
    return 0;
  }
}
