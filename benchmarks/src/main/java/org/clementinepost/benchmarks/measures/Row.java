package org.clementinepost.benchmarks.measures;

import java.util.Locale;

/**
 * One measured figure.
 *
 * @param deployment the deployment
 * @param service the service
 * @param scenario what was wrong
 * @param policy the policy that was measured
 * @param measure what was measured, with its unit
 * @param value the figure
 */
record Row(
    String deployment,
    String service,
    String scenario,
    String policy,
    String measure,
    double value) {
  static final String CSV_HEADER = "deployment,service,scenario,policy,measure,value";

  String csv() {
    return String.join(",", deployment, service, scenario, policy, measure, number(value));
  }

  static String number(double value) {
    return String.format(Locale.ROOT, "%.4f", value);
  }
}
