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
 * @param fault makes a backend server sick
 */
record DetectionScenario(String name, double utilisation, BiConsumer<Fleet, Endpoint> fault) {
  private static final int ROUNDS = 6;
  private static final long WARM_UP_SECONDS = 20;
  private static final long WATCHED_SECONDS = 20;
  private static final double MILLIS = 1e6;

  static DetectionScenario of(String name, Disturbance disturbance) {
    return new DetectionScenario(
        name,
        Subject.NORMAL_UTILISATION,
        (fleet, endpoint) -> fleet.disturb(endpoint, disturbance));
  }

  Vector<Row> run(Subject subject) {
    Histogram detectionMillis = new Histogram(WATCHED_SECONDS * 1_000, 3);
    int undetected = 0;
    int others = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Fleet fleet = subject.fleet(utilisation, round);
      fleet.run(WARM_UP_SECONDS);
      Endpoint sick = fleet.endpoints().get(round % fleet.endpoints().size());
      fault.accept(fleet, sick);
      long startNanos = fleet.nowNanos();
      Tally tally = fleet.run(WATCHED_SECONDS);
      Set<Integer> detectors = new HashSet<>();
      for (Tally.Ejection ejection : tally.ejections()) {
        if (!ejection.effect().endpoint().equals(sick)) {
          others++;
        } else if (detectors.add(ejection.node())) {
          detectionMillis.recordValue((long) ((ejection.atNanos() - startNanos) / MILLIS));
        }
      }
      undetected += affected(fleet, sick) - detectors.size();
    }
    // A node that has not detected in time counts with the whole time.
    for (int i = 0; i < undetected; i++) {
      detectionMillis.recordValue(WATCHED_SECONDS * 1_000);
    }
    return Vector.of(
        subject.row(name, "detection_p50_ms", detectionMillis.getValueAtPercentile(50)),
        subject.row(name, "detection_p99_ms", detectionMillis.getValueAtPercentile(99)),
        subject.row(name, "undetected_nodes", undetected),
        subject.row(name, "other_servers_ejected", others));
  }

  private static int affected(Fleet fleet, Endpoint sick) {
    int cut = 0;
    for (int node = 0; node < fleet.nodeCount(); node++) {
      if (fleet.isCut(node, sick)) {
        cut++;
      }
    }
    return cut == 0 ? fleet.nodeCount() : cut;
  }
}
