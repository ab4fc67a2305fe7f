package org.clementinepost.benchmarks.measures;

import java.util.Locale;

/**
 * A result: the value of one metric of one scenario.
 *
 * @param deployment the name of the deployment
 * @param service the name of the service, or "worst" in a summary
 * @param scenario the name of the scenario
 * @param policy the name of the routing policy
 * @param metric the name of the metric, ending in its unit if it has one
 * @param value the value of the metric
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
