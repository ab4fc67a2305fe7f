package org.clementinepost.benchmarks.measures;

import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Samples service times, errors and pauses of a backend server from random distributions.
 *
 * <p>Service times are log-normal, with a small fraction of uploads that take longer. Even a server
 * without a fault returns some errors and pauses at random times.
 */
final class ServiceTimes {
  /** The approximate mean of the service time without a fault. */
  static final double MEAN_MICROS = 30_000;

  private static final double MEDIAN_MICROS = 25_000;
  private static final double LOG_NORMAL_SIGMA = 0.5;
  private static final double UPLOAD_FRACTION = 0.02;
  private static final double UPLOAD_SLOWDOWN_FACTOR = 4;
  private static final double BASE_ERROR_FRACTION = 0.003;
  private static final long MEAN_PAUSE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private ServiceTimes() {}

  static long sampleNanos(Random random, ServerFault fault) {
    double micros = MEDIAN_MICROS * Math.exp(LOG_NORMAL_SIGMA * random.nextGaussian());
    if (random.nextDouble() < UPLOAD_FRACTION) {
      micros *= UPLOAD_SLOWDOWN_FACTOR;
    }
    if (random.nextDouble() < fault.slowFraction()) {
      micros *= fault.slowdownFactor();
    }
    return (long) (micros * 1_000);
  }

  static boolean sampleFailure(Random random, ServerFault fault) {
    return random.nextDouble() < BASE_ERROR_FRACTION + fault.errorFraction();
  }

  static long samplePauseIntervalNanos(Random random) {
    return (long) (-Math.log(1 - random.nextDouble()) * MEAN_PAUSE_INTERVAL_NANOS);
  }

  static long samplePauseNanos(Random random) {
    return MIN_PAUSE_NANOS + (long) (random.nextDouble() * (MAX_PAUSE_NANOS - MIN_PAUSE_NANOS));
  }
}
