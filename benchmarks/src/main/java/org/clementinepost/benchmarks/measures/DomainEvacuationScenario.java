package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;

/** Takes a failure domain out and back under load. */
final class DomainEvacuationScenario {
  private static final String SCENARIO_NAME = "domain-out-and-back";
  private static final long WARM_UP_SECONDS = 10;
  private static final long PHASE_SECONDS = 30;

  private DomainEvacuationScenario() {}

  static Vector<ResultRow> run(SystemUnderTest subject) {
    FleetSimulation fleet = subject.newSimulation(SystemUnderTest.NORMAL_UTILISATION, 0);
    String domain = subject.deployment().domains().get(1).value();
    fleet.run(WARM_UP_SECONDS);
    RunStatistics before = fleet.run(PHASE_SECONDS);
    fleet.setInService(domain, false);
    RunStatistics away = fleet.run(PHASE_SECONDS);
    fleet.setInService(domain, true);
    RunStatistics back = fleet.run(PHASE_SECONDS);
    double beforeMillis = before.p99Millis();
    double worstMillis = Math.max(away.p99Millis(), back.p99Millis());
    return Vector.of(
        subject.newRow(
            SCENARIO_NAME,
            "failed_idempotent",
            (double) away.idempotentFailed() + back.idempotentFailed()),
        subject.newRow(SCENARIO_NAME, "failed_idempotent_before", before.idempotentFailed()),
        subject.newRow(SCENARIO_NAME, "p99_before_ms", beforeMillis),
        subject.newRow(SCENARIO_NAME, "p99_away_ms", away.p99Millis()),
        subject.newRow(SCENARIO_NAME, "p99_back_ms", back.p99Millis()),
        subject.newRow(SCENARIO_NAME, "p99_ratio", worstMillis / beforeMillis),
        subject.newRow(
            SCENARIO_NAME,
            "worst_customer_success",
            Math.min(away.worstCustomerSuccessRate(), back.worstCustomerSuccessRate())),
        subject.newRow(
            SCENARIO_NAME, "amplification", Math.max(away.amplification(), back.amplification())));
  }
}
