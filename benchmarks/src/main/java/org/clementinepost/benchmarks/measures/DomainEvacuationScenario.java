package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;

/** Takes a failure domain out of service and back under load and compares the phases. */
final class DomainEvacuationScenario {
  private static final String SCENARIO_NAME = "domain-out-and-back";
  private static final long WARM_UP_SECONDS = 10;
  private static final long PHASE_SECONDS = 30;

  private DomainEvacuationScenario() {}

  static Vector<ResultRow> run(SystemUnderTest system) {
    FleetSimulation simulation = system.newSimulation(SystemUnderTest.NORMAL_UTILISATION, 0);
    String domain = system.deployment().domains().get(1).value();
    simulation.run(WARM_UP_SECONDS);
    RunStatistics before = simulation.run(PHASE_SECONDS);
    simulation.setInService(domain, false);
    RunStatistics evacuated = simulation.run(PHASE_SECONDS);
    simulation.setInService(domain, true);
    RunStatistics restored = simulation.run(PHASE_SECONDS);
    double p99BeforeMillis = before.p99Millis();
    double worstP99Millis = Math.max(evacuated.p99Millis(), restored.p99Millis());
    return Vector.of(
        system.newRow(
            SCENARIO_NAME,
            "failed_idempotent",
            (double) evacuated.failedIdempotentRequests() + restored.failedIdempotentRequests()),
        system.newRow(SCENARIO_NAME, "failed_idempotent_before", before.failedIdempotentRequests()),
        system.newRow(SCENARIO_NAME, "p99_before_ms", p99BeforeMillis),
        system.newRow(SCENARIO_NAME, "p99_away_ms", evacuated.p99Millis()),
        system.newRow(SCENARIO_NAME, "p99_back_ms", restored.p99Millis()),
        system.newRow(SCENARIO_NAME, "p99_ratio", worstP99Millis / p99BeforeMillis),
        system.newRow(
            SCENARIO_NAME,
            "worst_customer_success",
            Math.min(evacuated.worstCustomerSuccessRate(), restored.worstCustomerSuccessRate())),
        system.newRow(
            SCENARIO_NAME,
            "amplification",
            Math.max(evacuated.amplification(), restored.amplification())));
  }
}
