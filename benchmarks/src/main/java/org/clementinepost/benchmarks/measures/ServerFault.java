package org.clementinepost.benchmarks.measures;

/**
 * What is wrong with a backend server.
 *
 * @param slowdownFactor how many times slower its slow answers are
 * @param slowFraction the part of its answers that is slow
 * @param errorFraction the part of its answers that tells of an error
 * @param hangingFraction the part of its requests that it never answers
 */
record ServerFault(
    double slowdownFactor, double slowFraction, double errorFraction, double hangingFraction) {
  static final ServerFault NONE = new ServerFault(1, 0, 0, 0);

  static ServerFault slow(double slowdownFactor, double fraction) {
    return new ServerFault(slowdownFactor, fraction, 0, 0);
  }

  static ServerFault failing(double fraction) {
    return new ServerFault(1, 0, fraction, 0);
  }

  static ServerFault hanging(double fraction) {
    return new ServerFault(1, 0, 0, fraction);
  }
}
