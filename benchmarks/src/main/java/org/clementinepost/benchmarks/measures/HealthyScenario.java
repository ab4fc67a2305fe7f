package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;

/** Counts the ejections of a healthy but noisy service. */
final class HealthyScenario {
  private static final String NAME = "healthy-hour";
  private static final long WARM_UP_SECONDS = 20;

  private HealthyScenario() {}

  static Vector<Row> run(Subject subject, long watchedSeconds) {
    Fleet fleet = subject.fleet(Subject.NORMAL_UTILISATION, 0);
    int early = fleet.run(WARM_UP_SECONDS).ejections().size();
    Tally tally = fleet.run(watchedSeconds);
    return Vector.of(
        subject.row(NAME, "watched_s", watchedSeconds),
        subject.row(NAME, "requests", tally.requests()),
        subject.row(NAME, "false_ejections_at_start", early),
        subject.row(NAME, "false_ejections", tally.ejections().size()),
        subject.row(NAME, "worst_customer_success", tally.worstSuccess()),
        subject.row(NAME, "p99_ms", tally.p99Millis()),
        subject.row(NAME, "amplification", tally.amplification()));
  }
}
