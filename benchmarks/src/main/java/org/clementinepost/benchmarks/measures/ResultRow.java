package org.clementinepost.benchmarks.measures;

import java.util.Locale;

/**
 * One measured figure.
 *
 * @param deployment the deployment
 * @param service the service
 * @param scenario what was wrong
 * @param policy the policy that was measured
 * @param metric what was measured, with its unit
 * @param value the figure
 */
record ResultRow(
    String deployment,
    String service,
    String scenario,
    String policy,
    String metric,
    double value) {
  static final String CSV_HEADER = "deployment,service,scenario,policy,measure,value";

  String toCsv() {
    return String.join(",", deployment, service, scenario, policy, metric, formatValue(value));
  }

  static String formatValue(double value) {
    return String.format(Locale.ROOT, "%.4f", value);
  }
}
