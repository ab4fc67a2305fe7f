package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.HostReport;

/**
 * The evidence that a host has against a backend server of its own, from the requests of all
 * ingress nodes.
 *
 * @param evidence the evidence
 * @param lastBadNanos when the last request ended badly
 */
record HostedEvidence(Evidence evidence, long lastBadNanos) {
  private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

  static final HostedEvidence NONE = new HostedEvidence(Evidence.NONE, 0);

  /** A verdict lapses once nothing bad has been seen for a while. */
  HostedEvidence with(Outcome outcome, Reference reference, long nowNanos) {
    if (!outcome.good()) {
      return new HostedEvidence(evidence.with(outcome, reference, nowNanos), nowNanos);
    }
    boolean lapsed = nowNanos - lastBadNanos > FRESH_NANOS;
    return lapsed
        ? NONE
        : new HostedEvidence(evidence.with(outcome, reference, nowNanos), lastBadNanos);
  }

  HostReport report(long nowNanos) {
    if (!evidence.convicts(nowNanos)) {
      return HostReport.HEALTHY;
    }
    return evidence.failureScore() >= evidence.slowScore() ? HostReport.FAILING : HostReport.SLOW;
  }
}
