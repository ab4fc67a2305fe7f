package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import java.util.function.Consumer;

/**
 * Measures how callers fare from the moment that something goes wrong.
 *
 * @param name the scenario's name
 * @param utilisation the part of the slots that is busy when all is well
 * @param faultInjector what goes wrong
 */
record CallerImpactScenario(
    String name, double utilisation, Consumer<FleetSimulation> faultInjector) {
  private static final long WARM_UP_SECONDS = 20;
  private static final long OBSERVATION_SECONDS = 40;

  static CallerImpactScenario withFaultOnOneServer(String name, ServerFault disturbance) {
    return new CallerImpactScenario(
        name,
        SystemUnderTest.NORMAL_UTILISATION,
        fleet -> fleet.injectFault(fleet.endpoints().head(), disturbance));
  }

  static CallerImpactScenario withFaultOnAllServers(String name, ServerFault disturbance) {
    return new CallerImpactScenario(
        name,
        SystemUnderTest.NORMAL_UTILISATION,
        fleet -> fleet.endpoints().forEach(endpoint -> fleet.injectFault(endpoint, disturbance)));
  }

  Vector<ResultRow> run(SystemUnderTest subject) {
    FleetSimulation fleet = subject.newSimulation(utilisation, 0);
    fleet.run(WARM_UP_SECONDS);
    faultInjector.accept(fleet);
    RunStatistics tally = fleet.run(OBSERVATION_SECONDS);
    return Vector.of(
        subject.newRow(name, "success", tally.successRate()),
        subject.newRow(name, "worst_customer_success", tally.worstCustomerSuccessRate()),
        subject.newRow(name, "p99_ms", tally.p99Millis()),
        subject.newRow(name, "worst_customer_p99_ms", tally.worstCustomerP99Millis()),
        subject.newRow(name, "amplification", tally.amplification()));
  }
}
