package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.clementinepost.api.Endpoint;

/**
 * Injects a fault into one backend server and measures how long each ingress node takes to eject
 * it.
 *
 * @param name the scenario's name
 * @param utilisation the fraction of the slots that is busy without faults
 * @param faultInjector injects the fault into a backend server or its connections
 */
record DetectionScenario(
    String name, double utilisation, BiConsumer<FleetSimulation, Endpoint> faultInjector) {
  private static final int ROUNDS = 6;
  private static final long WARM_UP_SECONDS = 20;
  private static final long OBSERVATION_SECONDS = 20;
  private static final double NANOS_PER_MILLI = 1e6;

  static DetectionScenario withServerFault(String name, ServerFault fault) {
    return new DetectionScenario(
        name,
        SystemUnderTest.NORMAL_UTILISATION,
        (simulation, endpoint) -> simulation.injectFault(endpoint, fault));
  }

  Vector<ResultRow> run(SystemUnderTest system) {
    Histogram detectionMillis = new Histogram(OBSERVATION_SECONDS * 1_000, 3);
    int undetectedNodes = 0;
    int otherServersEjected = 0;
    for (int round = 0; round < ROUNDS; round++) {
      FleetSimulation simulation = system.newSimulation(utilisation, round);
      simulation.run(WARM_UP_SECONDS);
      Endpoint faultyServer = simulation.endpoints().get(round % simulation.endpoints().size());
      faultInjector.accept(simulation, faultyServer);
      long startNanos = simulation.nowNanos();
      RunStatistics statistics = simulation.run(OBSERVATION_SECONDS);
      Set<Integer> detectingNodes = new HashSet<>();
      for (RunStatistics.Ejection ejection : statistics.ejections()) {
        if (!ejection.effect().endpoint().equals(faultyServer)) {
          otherServersEjected++;
        } else if (detectingNodes.add(ejection.nodeIndex())) {
          detectionMillis.recordValue((long) ((ejection.atNanos() - startNanos) / NANOS_PER_MILLI));
        }
      }
      Set<Integer> undetectingNodes =
          new HashSet<>(affectedNodes(simulation, faultyServer, statistics));
      undetectingNodes.removeAll(detectingNodes);
      undetectedNodes += undetectingNodes.size();
    }
    // A node that did not eject the faulty server counts with the whole observation time.
    for (int i = 0; i < undetectedNodes; i++) {
      detectionMillis.recordValue(OBSERVATION_SECONDS * 1_000);
    }
    return Vector.of(
        system.newRow(name, "detection_p50_ms", detectionMillis.getValueAtPercentile(50)),
        system.newRow(name, "detection_p99_ms", detectionMillis.getValueAtPercentile(99)),
        system.newRow(name, "undetected_nodes", undetectedNodes),
        system.newRow(name, "other_servers_ejected", otherServersEjected));
  }

  /**
   * Returns the nodes that used the faulty server, or those of them that are cut off from it if the
   * fault is a network cut. A node that prefers other servers cannot notice the fault.
   */
  private static Set<Integer> affectedNodes(
      FleetSimulation simulation, Endpoint faultyServer, RunStatistics statistics) {
    Set<Integer> using = statistics.nodesUsing(faultyServer.server());
    Set<Integer> cutOff =
        using.stream()
            .filter(node -> simulation.isCutOff(node, faultyServer))
            .collect(Collectors.toSet());
    return simulation.isCutOffFromAnyNode(faultyServer) ? cutOff : using;
  }
}
