package org.clementinepost.benchmarks.measures;

import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Draws how long a healthy but noisy backend server takes, and which answers fail all the same. */
final class ServiceTimes {
  static final double MEAN_MICROS = 30_000;

  private static final double MEDIAN_MICROS = 25_000;
  private static final double SIGMA = 0.5;
  private static final double UPLOAD_FRACTION = 0.02;
  private static final double UPLOAD_RATIO = 4;
  private static final double FAILING_FRACTION = 0.003;
  private static final long PAUSE_GAP_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long PAUSE_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long PAUSE_MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private ServiceTimes() {}

  static long nanos(Random random, Disturbance disturbance) {
    double micros = MEDIAN_MICROS * Math.exp(SIGMA * random.nextGaussian());
    if (random.nextDouble() < UPLOAD_FRACTION) {
      micros *= UPLOAD_RATIO;
    }
    if (random.nextDouble() < disturbance.slowFraction()) {
      micros *= disturbance.slowRatio();
    }
    return (long) (micros * 1_000);
  }

  static boolean fails(Random random, Disturbance disturbance) {
    return random.nextDouble() < FAILING_FRACTION + disturbance.failingFraction();
  }

  static long pauseGapNanos(Random random) {
    return (long) (-Math.log(1 - random.nextDouble()) * PAUSE_GAP_NANOS);
  }

  static long pauseNanos(Random random) {
    return PAUSE_MIN_NANOS + (long) (random.nextDouble() * (PAUSE_MAX_NANOS - PAUSE_MIN_NANOS));
  }
}
