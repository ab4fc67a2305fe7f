package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.HostReport;

/**
 * The evidence against one backend server or path: two cumulative sums of log-likelihood ratios.
 *
 * <p>Each outcome moves a sum by how much likelier it is from a sick server than from a normal one.
 * A sum never falls below zero, so that a long healthy past does not delay the verdict. The verdict
 * needs the sum above its threshold for a while: a short pause makes many requests slow at once,
 * and they are one piece of evidence rather than many.
 *
 * @param failureScore the sum over failing outcomes, in nats
 * @param slowScore the sum over slow outcomes, in nats
 * @param aboveSinceNanos since when either has been above the threshold, or {@link #NOT_ABOVE}
 */
record Evidence(double failureScore, double slowScore, long aboveSinceNanos) {
  static final double THRESHOLD_NATS = 14;
  static final long NOT_ABOVE = Long.MIN_VALUE;
  static final Evidence NONE = new Evidence(0, 0, NOT_ABOVE);

  private static final double CEILING_NATS = 20;
  private static final double SICK_FRACTION = 0.2;
  private static final double SICK_TO_NORMAL_RATIO = 2.5;
  private static final long PERSISTENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  Evidence with(Outcome outcome, Reference reference, long nowNanos) {
    return moved(
        failureScore + change(outcome.failing(), reference.normalFailingFraction()),
        slowScore + change(outcome.slow(), reference.normalSlowFraction()),
        nowNanos);
  }

  /** Takes back a slow outcome that turned out not to be the backend server's. */
  Evidence withoutSlow(Reference reference, long nowNanos) {
    double refund = change(true, reference.normalSlowFraction());
    return moved(failureScore, slowScore - refund, nowNanos);
  }

  /** The evidence of a host's verdict, which the host has already waited for. */
  static Evidence reported(HostReport report, long nowNanos) {
    return new Evidence(
        report == HostReport.FAILING ? THRESHOLD_NATS : 0,
        report == HostReport.SLOW ? THRESHOLD_NATS : 0,
        nowNanos - PERSISTENCE_NANOS);
  }

  private Evidence moved(double failure, double slow, long nowNanos) {
    double nextFailure = bounded(failure);
    double nextSlow = bounded(slow);
    if (Math.max(nextFailure, nextSlow) < THRESHOLD_NATS) {
      return new Evidence(nextFailure, nextSlow, NOT_ABOVE);
    }
    return new Evidence(
        nextFailure, nextSlow, aboveSinceNanos == NOT_ABOVE ? nowNanos : aboveSinceNanos);
  }

  private static double bounded(double score) {
    return Math.min(CEILING_NATS, Math.max(0, score));
  }

  private static double change(boolean bad, double normalFraction) {
    double sickFraction = Math.max(SICK_FRACTION, SICK_TO_NORMAL_RATIO * normalFraction);
    return bad
        ? Math.log(sickFraction / normalFraction)
        : Math.log((1 - sickFraction) / (1 - normalFraction));
  }

  /** Whether the evidence has stood long enough for a verdict. */
  boolean convicts(long nowNanos) {
    return aboveSinceNanos != NOT_ABOVE && nowNanos - aboveSinceNanos >= PERSISTENCE_NANOS;
  }

  /** Whether the evidence is on its way to a verdict. */
  boolean suspects() {
    return Math.max(failureScore, slowScore) >= THRESHOLD_NATS / 2;
  }

  boolean isNone() {
    return failureScore == 0 && slowScore == 0;
  }
}
