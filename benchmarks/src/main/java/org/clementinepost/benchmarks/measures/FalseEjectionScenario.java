package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;

/** Counts the false ejections of a healthy service with noisy response times. */
final class FalseEjectionScenario {
  private static final String SCENARIO_NAME = "healthy-hour";
  private static final long WARM_UP_SECONDS = 20;

  private FalseEjectionScenario() {}

  static Vector<ResultRow> run(SystemUnderTest system, long observationSeconds) {
    FleetSimulation simulation = system.newSimulation(SystemUnderTest.NORMAL_UTILISATION, 0);
    int ejectionsDuringWarmUp = simulation.run(WARM_UP_SECONDS).ejections().size();
    RunStatistics statistics = simulation.run(observationSeconds);
    return Vector.of(
        system.newRow(SCENARIO_NAME, "watched_s", observationSeconds),
        system.newRow(SCENARIO_NAME, "requests", statistics.requests()),
        system.newRow(SCENARIO_NAME, "false_ejections_at_start", ejectionsDuringWarmUp),
        system.newRow(SCENARIO_NAME, "false_ejections", statistics.ejections().size()),
        system.newRow(
            SCENARIO_NAME, "worst_customer_success", statistics.worstCustomerSuccessRate()),
        system.newRow(SCENARIO_NAME, "p99_ms", statistics.p99Millis()),
        system.newRow(SCENARIO_NAME, "amplification", statistics.amplification()));
  }
}
