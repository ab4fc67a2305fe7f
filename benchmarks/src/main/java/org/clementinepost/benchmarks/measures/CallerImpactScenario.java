package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import java.util.function.Consumer;

/**
 * Measures the success rate and latency that callers see after a fault is injected.
 *
 * @param name the scenario's name
 * @param utilisation the fraction of the slots that is busy without faults
 * @param faultInjector injects the fault
 */
record CallerImpactScenario(
    String name, double utilisation, Consumer<FleetSimulation> faultInjector) {
  private static final long WARM_UP_SECONDS = 20;
  private static final long OBSERVATION_SECONDS = 40;

  static CallerImpactScenario withFaultOnOneServer(String name, ServerFault fault) {
    return new CallerImpactScenario(
        name,
        SystemUnderTest.NORMAL_UTILISATION,
        simulation -> simulation.injectFault(simulation.endpoints().head(), fault));
  }

  static CallerImpactScenario withFaultOnAllServers(String name, ServerFault fault) {
    return new CallerImpactScenario(
        name,
        SystemUnderTest.NORMAL_UTILISATION,
        simulation ->
            simulation.endpoints().forEach(endpoint -> simulation.injectFault(endpoint, fault)));
  }

  Vector<ResultRow> run(SystemUnderTest system) {
    FleetSimulation simulation = system.newSimulation(utilisation, 0);
    simulation.run(WARM_UP_SECONDS);
    faultInjector.accept(simulation);
    RunStatistics statistics = simulation.run(OBSERVATION_SECONDS);
    return Vector.of(
        system.newRow(name, "success", statistics.successRate()),
        system.newRow(name, "worst_customer_success", statistics.worstCustomerSuccessRate()),
        system.newRow(name, "p99_ms", statistics.p99Millis()),
        system.newRow(name, "worst_customer_p99_ms", statistics.worstCustomerP99Millis()),
        system.newRow(name, "amplification", statistics.amplification()));
  }
}
