package org.clementinepost.benchmarks.latency;

import org.HdrHistogram.Histogram;

/**
 * What one run of load has shown.
 *
 * @param requestsPerSecond the rate that was asked for
 * @param succeeded the requests that were answered with 200
 * @param failed all others
 * @param elapsedMillis the time from the first request to the last answer
 * @param latencyMicros the latencies, counted from the time at which each request was due
 */
record LoadResult(
    int requestsPerSecond,
    long succeeded,
    long failed,
    long elapsedMillis,
    Histogram latencyMicros) {
  private static final double MILLIS_PER_SECOND = 1_000;

  double achievedPerSecond() {
    return succeeded * MILLIS_PER_SECOND / Math.max(1, elapsedMillis);
  }

  double percentileMillis(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / MILLIS_PER_SECOND;
  }
}
