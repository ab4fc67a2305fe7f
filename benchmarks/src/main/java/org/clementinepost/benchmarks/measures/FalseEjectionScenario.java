package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;

/** Counts the ejections of a healthy but noisy service. */
final class FalseEjectionScenario {
  private static final String SCENARIO_NAME = "healthy-hour";
  private static final long WARM_UP_SECONDS = 20;

  private FalseEjectionScenario() {}

  static Vector<ResultRow> run(SystemUnderTest subject, long watchedSeconds) {
    FleetSimulation fleet = subject.newSimulation(SystemUnderTest.NORMAL_UTILISATION, 0);
    int early = fleet.run(WARM_UP_SECONDS).ejections().size();
    RunStatistics tally = fleet.run(watchedSeconds);
    return Vector.of(
        subject.newRow(SCENARIO_NAME, "watched_s", watchedSeconds),
        subject.newRow(SCENARIO_NAME, "requests", tally.requests()),
        subject.newRow(SCENARIO_NAME, "false_ejections_at_start", early),
        subject.newRow(SCENARIO_NAME, "false_ejections", tally.ejections().size()),
        subject.newRow(SCENARIO_NAME, "worst_customer_success", tally.worstCustomerSuccessRate()),
        subject.newRow(SCENARIO_NAME, "p99_ms", tally.p99Millis()),
        subject.newRow(SCENARIO_NAME, "amplification", tally.amplification()));
  }
}
