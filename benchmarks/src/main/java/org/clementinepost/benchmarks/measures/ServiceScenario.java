package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import java.util.function.Consumer;

/**
 * Measures how callers fare from the moment that something goes wrong.
 *
 * @param name the scenario's name
 * @param utilisation the part of the slots that is busy when all is well
 * @param fault what goes wrong
 */
record ServiceScenario(String name, double utilisation, Consumer<Fleet> fault) {
  private static final long WARM_UP_SECONDS = 20;
  private static final long WATCHED_SECONDS = 40;

  static ServiceScenario oneServer(String name, Disturbance disturbance) {
    return new ServiceScenario(
        name,
        Subject.NORMAL_UTILISATION,
        fleet -> fleet.disturb(fleet.endpoints().head(), disturbance));
  }

  static ServiceScenario everyServer(String name, Disturbance disturbance) {
    return new ServiceScenario(
        name,
        Subject.NORMAL_UTILISATION,
        fleet -> fleet.endpoints().forEach(endpoint -> fleet.disturb(endpoint, disturbance)));
  }

  Vector<Row> run(Subject subject) {
    Fleet fleet = subject.fleet(utilisation, 0);
    fleet.run(WARM_UP_SECONDS);
    fault.accept(fleet);
    Tally tally = fleet.run(WATCHED_SECONDS);
    return Vector.of(
        subject.row(name, "success", tally.success()),
        subject.row(name, "worst_customer_success", tally.worstSuccess()),
        subject.row(name, "p99_ms", tally.p99Millis()),
        subject.row(name, "worst_customer_p99_ms", tally.worstP99Millis()),
        subject.row(name, "amplification", tally.amplification()));
  }
}
