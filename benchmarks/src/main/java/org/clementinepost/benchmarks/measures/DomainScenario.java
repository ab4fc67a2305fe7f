package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;

/** Takes a failure domain out and back under load. */
final class DomainScenario {
  private static final String NAME = "domain-out-and-back";
  private static final long WARM_UP_SECONDS = 10;
  private static final long PHASE_SECONDS = 30;

  private DomainScenario() {}

  static Vector<Row> run(Subject subject) {
    Fleet fleet = subject.fleet(Subject.NORMAL_UTILISATION, 0);
    String domain = subject.deployment().domains().get(1).value();
    fleet.run(WARM_UP_SECONDS);
    Tally before = fleet.run(PHASE_SECONDS);
    fleet.setInService(domain, false);
    Tally away = fleet.run(PHASE_SECONDS);
    fleet.setInService(domain, true);
    Tally back = fleet.run(PHASE_SECONDS);
    double beforeMillis = before.p99Millis();
    double worstMillis = Math.max(away.p99Millis(), back.p99Millis());
    return Vector.of(
        subject.row(
            NAME, "failed_idempotent", (double) away.idempotentFailed() + back.idempotentFailed()),
        subject.row(NAME, "failed_idempotent_before", before.idempotentFailed()),
        subject.row(NAME, "p99_before_ms", beforeMillis),
        subject.row(NAME, "p99_away_ms", away.p99Millis()),
        subject.row(NAME, "p99_back_ms", back.p99Millis()),
        subject.row(NAME, "p99_ratio", worstMillis / beforeMillis),
        subject.row(
            NAME, "worst_customer_success", Math.min(away.worstSuccess(), back.worstSuccess())),
        subject.row(NAME, "amplification", Math.max(away.amplification(), back.amplification())));
  }
}
