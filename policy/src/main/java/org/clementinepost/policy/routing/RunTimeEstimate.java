package org.clementinepost.policy.routing;

/**
 * An estimate of the log-normal distribution of run times of one kind of request.
 *
 * <p>The median is estimated in small steps, so that an outlier moves it no more than any sample.
 *
 * @param sampleCount the number of samples, up to the maximum that counts
 * @param medianMicros the median
 * @param logDeviation the standard deviation of the logarithm
 */
record RunTimeEstimate(int sampleCount, double medianMicros, double logDeviation) {
  private static final double INITIAL_LOG_DEVIATION = 0.6;

  static final RunTimeEstimate NONE = new RunTimeEstimate(0, 0, INITIAL_LOG_DEVIATION);

  private static final int MIN_SAMPLES = 10;

  /** The count at which the steps of the estimate stop becoming smaller. */
  private static final int MAX_COUNT = 50;

  /** The number of samples that the initial deviation counts as. */
  private static final int INITIAL_DEVIATION_WEIGHT = 10;

  /** The standard deviation of a normal distribution divided by its mean absolute deviation. */
  private static final double DEVIATION_RATIO = 1.25;

  /** The variance of the logarithm that comes from the load and the speed of a server. */
  private static final double LOAD_VARIANCE = 0.04;

  /** The variance of an estimated median, as a multiple of the variance of one sample. */
  private static final double MEDIAN_VARIANCE_RATIO = 1.6;

  /** The 95th percentile of the standard normal distribution. */
  private static final double HIGH_PERCENTILE_DEVIATIONS = 1.645;

  private static final double MAX_ABSOLUTE_LOG = 2;

  boolean isReliable() {
    return sampleCount >= MIN_SAMPLES;
  }

  RunTimeEstimate withSample(long micros) {
    int count = Math.min(MAX_COUNT, sampleCount + 1);
    if (sampleCount == 0) {
      return new RunTimeEstimate(count, Math.max(1, micros), logDeviation);
    }
    double factor = 1 + 1.0 / count;
    double deviation = DEVIATION_RATIO * Math.min(MAX_ABSOLUTE_LOG, Math.abs(logRatio(micros)));
    return new RunTimeEstimate(
        count,
        micros > medianMicros ? medianMicros * factor : medianMicros / factor,
        logDeviation + (deviation - logDeviation) / (count + INITIAL_DEVIATION_WEIGHT));
  }

  /** Returns the 95th percentile. */
  long highPercentileMicros() {
    return (long) (medianMicros * Math.exp(HIGH_PERCENTILE_DEVIATIONS * logDeviation));
  }

  /** Returns the logarithm of a time relative to the median. */
  double logRatio(double micros) {
    return Math.log(Math.max(1, micros) / medianMicros);
  }

  /** Returns the variance of the logarithm, with what is uncertain about the estimate. */
  double logVariance() {
    return logDeviation * logDeviation * (1 + MEDIAN_VARIANCE_RATIO / sampleCount) + LOAD_VARIANCE;
  }
}
