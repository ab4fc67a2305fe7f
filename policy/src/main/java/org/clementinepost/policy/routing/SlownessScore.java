package org.clementinepost.policy.routing;

/**
 * The evidence that one run gives of a slowed server: the log-likelihood ratio of a server slowed
 * by {@link #SLOWED_FACTOR} to a normal one, both with log-normal run times.
 *
 * <p>For a completed run it is positive only beyond the square root of that factor, so that a
 * server that slows down because it is nearly full does not count as slowed.
 */
final class SlownessScore {
  private static final double SLOWED_FACTOR = 5;
  private static final double LOG_FACTOR = Math.log(SLOWED_FACTOR);

  /** The fraction of runs that take far longer than others of their kind on a normal server. */
  private static final double LONG_RUN_FRACTION = 0.01;

  private static final double MAX_RUN_NATS = 4;

  /** The age of a run, relative to the median, from which it is evidence before it has ended. */
  private static final double MIN_RUNNING_LOG_RATIO = Math.log(2);

  /** The factor by which the logistic distribution approximates the normal one. */
  private static final double LOGISTIC_FACTOR = 1.702;

  /** Makes five typical runs at a slowed server conclusive. */
  private static final double WEIGHT = 1.4;

  private SlownessScore() {}

  /** Returns the evidence of a run that has ended, in nats. */
  static double ofCompleted(RunTimeEstimate usual, double micros) {
    double nats = LOG_FACTOR * (usual.logRatio(micros) - LOG_FACTOR / 2) / usual.logVariance();
    return WEIGHT * Math.max(-MAX_RUN_NATS, Math.min(MAX_RUN_NATS, nats));
  }

  /** Returns the evidence of a run that has not ended yet, in nats. */
  static double ofRunning(RunTimeEstimate usual, double ageMicros) {
    double logRatio = usual.logRatio(ageMicros);
    if (logRatio < MIN_RUNNING_LOG_RATIO) {
      return 0;
    }
    double deviation = Math.sqrt(usual.logVariance());
    double slowed = exceeds((logRatio - LOG_FACTOR) / deviation);
    double normal = LONG_RUN_FRACTION + exceeds(logRatio / deviation);
    return WEIGHT * Math.max(0, Math.min(MAX_RUN_NATS, Math.log(slowed / normal)));
  }

  /** Returns the probability that a standard normal variable exceeds a value. */
  private static double exceeds(double value) {
    return 1 / (1 + Math.exp(LOGISTIC_FACTOR * value));
  }
}
