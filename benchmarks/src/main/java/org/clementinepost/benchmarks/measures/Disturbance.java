package org.clementinepost.benchmarks.measures;

/**
 * What is wrong with a backend server.
 *
 * @param slowRatio how many times slower its slow answers are
 * @param slowFraction the part of its answers that is slow
 * @param failingFraction the part of its answers that tells of an error
 * @param hangingFraction the part of its requests that it never answers
 */
record Disturbance(
    double slowRatio, double slowFraction, double failingFraction, double hangingFraction) {
  static final Disturbance NONE = new Disturbance(1, 0, 0, 0);

  static Disturbance slow(double ratio, double fraction) {
    return new Disturbance(ratio, fraction, 0, 0);
  }

  static Disturbance failing(double fraction) {
    return new Disturbance(1, 0, fraction, 0);
  }

  static Disturbance hanging(double fraction) {
    return new Disturbance(1, 0, 0, fraction);
  }
}
