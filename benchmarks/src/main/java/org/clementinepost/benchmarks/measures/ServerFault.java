package org.clementinepost.benchmarks.measures;

/**
 * A fault that is injected into a simulated backend server.
 *
 * @param slowdownFactor the factor by which the service time of slow requests is multiplied
 * @param slowFraction the fraction of requests that are slow
 * @param errorFraction the fraction of requests that get an error response
 * @param hangingFraction the fraction of requests that get no response
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
