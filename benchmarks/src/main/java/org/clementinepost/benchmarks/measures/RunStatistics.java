package org.clementinepost.benchmarks.measures;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.policy.routing.RoutingEffect;

/** Collects requests, attempts, latencies and ejections during one period of a simulation. */
final class RunStatistics {
  /** The ejection of a backend server by one ingress node. */
  record Ejection(long atNanos, int nodeIndex, RoutingEffect.Ejected effect) {}

  private static final long MAX_TRACKED_MICROS = 10_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final List<Histogram> latencyMicros = new ArrayList<>();
  private final long[] requests;
  private final long[] successfulRequests;
  private final List<Ejection> ejections = new ArrayList<>();
  private final Map<BackendServerId, Set<Integer>> nodesByServer = new HashMap<>();
  private long failedIdempotentRequests;
  private long attempts;
  private long readmissions;

  RunStatistics(int customerCount) {
    requests = new long[customerCount];
    successfulRequests = new long[customerCount];
    for (int i = 0; i < customerCount; i++) {
      latencyMicros.add(new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS));
    }
  }

  void recordRequest(int customer, boolean succeeded, boolean idempotent, long totalMicros) {
    requests[customer]++;
    latencyMicros.get(customer).recordValue(Math.min(MAX_TRACKED_MICROS, totalMicros));
    if (succeeded) {
      successfulRequests[customer]++;
    } else if (idempotent) {
      failedIdempotentRequests++;
    }
  }

  void recordAttempt() {
    attempts++;
  }

  void recordEffect(long nowNanos, int nodeIndex, RoutingEffect effect) {
    if (effect instanceof RoutingEffect.Ejected ejected) {
      ejections.add(new Ejection(nowNanos, nodeIndex, ejected));
    }
    if (effect instanceof RoutingEffect.Readmitted) {
      readmissions++;
    }
    if (effect instanceof RoutingEffect.Placed placed) {
      placed
          .result()
          .peek(
              placement ->
                  nodesByServer
                      .computeIfAbsent(placement.endpoint().server(), server -> new HashSet<>())
                      .add(nodeIndex));
    }
  }

  /** Returns the ingress nodes that placed requests on a backend server. */
  Set<Integer> nodesUsing(BackendServerId server) {
    return Set.copyOf(nodesByServer.getOrDefault(server, Set.of()));
  }

  List<Ejection> ejections() {
    return List.copyOf(ejections);
  }

  long readmissions() {
    return readmissions;
  }

  long failedIdempotentRequests() {
    return failedIdempotentRequests;
  }

  long requests() {
    long sum = 0;
    for (long count : requests) {
      sum += count;
    }
    return sum;
  }

  /** Returns the number of attempts per request. */
  double amplification() {
    return (double) attempts / Math.max(1, requests());
  }

  double successRate() {
    long sum = 0;
    for (long count : successfulRequests) {
      sum += count;
    }
    return (double) sum / Math.max(1, requests());
  }

  /** Returns the success rate of the customer with the lowest one. */
  double worstCustomerSuccessRate() {
    double worst = 1;
    for (int i = 0; i < requests.length; i++) {
      if (requests[i] > 0) {
        worst = Math.min(worst, (double) successfulRequests[i] / requests[i]);
      }
    }
    return worst;
  }

  double p99Millis() {
    Histogram all = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
    latencyMicros.forEach(all::add);
    return p99MillisOf(all);
  }

  double worstCustomerP99Millis() {
    double worst = 0;
    for (Histogram histogram : latencyMicros) {
      worst = Math.max(worst, p99MillisOf(histogram));
    }
    return worst;
  }

  private static double p99MillisOf(Histogram histogram) {
    return histogram.getValueAtPercentile(99) / 1_000.0;
  }
}
