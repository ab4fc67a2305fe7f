package org.clementinepost.benchmarks.measures;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.clementinepost.policy.routing.RoutingEffect;

/** Counts what one run gave, per customer and for the phases of the run. */
final class Tally {
  /** One ejection, as one ingress node decided on it. */
  record Ejection(long atNanos, int node, RoutingEffect.Ejected effect) {}

  private static final long MAX_MICROS = 10_000_000;
  private static final int DIGITS = 3;

  private final List<Histogram> micros = new ArrayList<>();
  private final long[] requests;
  private final long[] good;
  private final List<Ejection> ejections = new ArrayList<>();
  private long idempotentFailed;
  private long attempts;
  private long readmissions;

  Tally(int customers) {
    requests = new long[customers];
    good = new long[customers];
    for (int i = 0; i < customers; i++) {
      micros.add(new Histogram(MAX_MICROS, DIGITS));
    }
  }

  void ended(int customer, boolean succeeded, boolean idempotent, long totalMicros) {
    requests[customer]++;
    micros.get(customer).recordValue(Math.min(MAX_MICROS, totalMicros));
    if (succeeded) {
      good[customer]++;
    } else if (idempotent) {
      idempotentFailed++;
    }
  }

  void attempt() {
    attempts++;
  }

  void effect(long nowNanos, int node, RoutingEffect effect) {
    if (effect instanceof RoutingEffect.Ejected ejected) {
      ejections.add(new Ejection(nowNanos, node, ejected));
    }
    if (effect instanceof RoutingEffect.Readmitted) {
      readmissions++;
    }
  }

  List<Ejection> ejections() {
    return List.copyOf(ejections);
  }

  long readmissions() {
    return readmissions;
  }

  long idempotentFailed() {
    return idempotentFailed;
  }

  long requests() {
    long sum = 0;
    for (long count : requests) {
      sum += count;
    }
    return sum;
  }

  /** Attempts for each request. */
  double amplification() {
    return (double) attempts / Math.max(1, requests());
  }

  double success() {
    long sum = 0;
    for (long count : good) {
      sum += count;
    }
    return (double) sum / Math.max(1, requests());
  }

  /** The success of the customer that fared worst. */
  double worstSuccess() {
    double worst = 1;
    for (int i = 0; i < requests.length; i++) {
      if (requests[i] > 0) {
        worst = Math.min(worst, (double) good[i] / requests[i]);
      }
    }
    return worst;
  }

  double p99Millis() {
    Histogram all = new Histogram(MAX_MICROS, DIGITS);
    micros.forEach(all::add);
    return millis(all);
  }

  double worstP99Millis() {
    double worst = 0;
    for (Histogram histogram : micros) {
      worst = Math.max(worst, millis(histogram));
    }
    return worst;
  }

  private static double millis(Histogram histogram) {
    return histogram.getValueAtPercentile(99) / 1_000.0;
  }
}
