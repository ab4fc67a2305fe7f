package org.clementinepost.benchmarks.latency;

import org.HdrHistogram.Histogram;

/**
 * The result of one load run.
 *
 * @param requestsPerSecond the target rate
 * @param succeeded the number of requests with a response of status 200
 * @param failed the number of all other requests
 * @param elapsedMillis the time from the first request to the last response
 * @param latencyMicros the latencies, measured from the scheduled send time of each request
 */
record LoadResult(
    int requestsPerSecond,
    long succeeded,
    long failed,
    long elapsedMillis,
    Histogram latencyMicros) {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MICROS_PER_MILLI = 1_000;

  double achievedPerSecond() {
    return succeeded * MILLIS_PER_SECOND / Math.max(1, elapsedMillis);
  }

  double percentileMillis(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
