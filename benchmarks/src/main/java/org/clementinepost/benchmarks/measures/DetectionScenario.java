package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;
import org.clementinepost.api.Endpoint;

/**
 * Makes one backend server sick and measures when each ingress node ejects it.
 *
 * @param name the scenario's name
 * @param utilisation the part of the slots that is busy when all is well
 * @param faultInjector makes a backend server sick
 */
record DetectionScenario(
    String name, double utilisation, BiConsumer<FleetSimulation, Endpoint> faultInjector) {
  private static final int ROUNDS = 6;
  private static final long WARM_UP_SECONDS = 20;
  private static final long OBSERVATION_SECONDS = 20;
  private static final double NANOS_PER_MILLI = 1e6;

  static DetectionScenario withServerFault(String name, ServerFault disturbance) {
    return new DetectionScenario(
        name,
        SystemUnderTest.NORMAL_UTILISATION,
        (fleet, endpoint) -> fleet.injectFault(endpoint, disturbance));
  }

  Vector<ResultRow> run(SystemUnderTest subject) {
    Histogram detectionMillis = new Histogram(OBSERVATION_SECONDS * 1_000, 3);
    int undetected = 0;
    int others = 0;
    for (int round = 0; round < ROUNDS; round++) {
      FleetSimulation fleet = subject.newSimulation(utilisation, round);
      fleet.run(WARM_UP_SECONDS);
      Endpoint sick = fleet.endpoints().get(round % fleet.endpoints().size());
      faultInjector.accept(fleet, sick);
      long startNanos = fleet.nowNanos();
      RunStatistics tally = fleet.run(OBSERVATION_SECONDS);
      Set<Integer> detectors = new HashSet<>();
      for (RunStatistics.Ejection ejection : tally.ejections()) {
        if (!ejection.effect().endpoint().equals(sick)) {
          others++;
        } else if (detectors.add(ejection.node())) {
          detectionMillis.recordValue((long) ((ejection.atNanos() - startNanos) / NANOS_PER_MILLI));
        }
      }
      undetected += affectedNodeCount(fleet, sick) - detectors.size();
    }
    // A node that has not detected in time counts with the whole time.
    for (int i = 0; i < undetected; i++) {
      detectionMillis.recordValue(OBSERVATION_SECONDS * 1_000);
    }
    return Vector.of(
        subject.newRow(name, "detection_p50_ms", detectionMillis.getValueAtPercentile(50)),
        subject.newRow(name, "detection_p99_ms", detectionMillis.getValueAtPercentile(99)),
        subject.newRow(name, "undetected_nodes", undetected),
        subject.newRow(name, "other_servers_ejected", others));
  }

  private static int affectedNodeCount(FleetSimulation fleet, Endpoint sick) {
    int cut = 0;
    for (int node = 0; node < fleet.nodeCount(); node++) {
      if (fleet.isCutOff(node, sick)) {
        cut++;
      }
    }
    return cut == 0 ? fleet.nodeCount() : cut;
  }
}
