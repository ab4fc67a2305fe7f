package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.HostReport;

/**
 * The evidence against one backend server or path: two cumulative sums of log-likelihood ratios.
 *
 * <p>Each outcome moves a sum by how much likelier it is from a sick server than from a normal one.
 * A sum never falls below zero, so that a long healthy past does not delay the verdict. What one
 * moment can add is bounded: a short pause makes many requests slow at once, and they are one piece
 * of evidence rather than many.
 *
 * @param failureScore the sum over failing outcomes, in nats
 * @param slowScore the sum over slow outcomes, in nats
 * @param burst what the present moment has added
 */
record Evidence(double failureScore, double slowScore, BurstWindow burst) {
  /** What a short stretch of time has added to the sums. */
  record BurstWindow(long startNanos, double failureNats, double slowNats) {
    private static final BurstWindow EMPTY = new BurstWindow(Long.MIN_VALUE / 2, 0, 0);
  }

  static final double THRESHOLD_NATS = 16;
  static final Evidence NONE = new Evidence(0, 0, BurstWindow.EMPTY);

  private static final double MAX_SCORE_NATS = 20;
  private static final double MIN_FAULTY_FRACTION = 0.2;
  private static final double FAULTY_TO_NORMAL_RATIO = 2.5;
  private static final long BURST_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final double BURST_MAX_FAILURE_NATS = 6;
  private static final double BURST_MAX_SLOW_NATS = 4;

  /** The evidence of a host's verdict. */
  static Evidence ofReport(HostReport report) {
    boolean failing = report == HostReport.FAILING;
    return new Evidence(
        failing ? THRESHOLD_NATS : 0, failing ? 0 : THRESHOLD_NATS, BurstWindow.EMPTY);
  }

  Evidence withOutcome(Outcome outcome, ServiceBaseline reference, long nowNanos) {
    BurstWindow now =
        nowNanos - burst.startNanos < BURST_WINDOW_NANOS ? burst : new BurstWindow(nowNanos, 0, 0);
    double failure =
        atMost(
            logLikelihoodRatio(outcome.failing(), reference.normalFailingFraction()),
            BURST_MAX_FAILURE_NATS - now.failureNats);
    double slow =
        atMost(
            logLikelihoodRatio(outcome.slow(), reference.normalSlowFraction()),
            BURST_MAX_SLOW_NATS - now.slowNats);
    BurstWindow next =
        new BurstWindow(
            now.startNanos,
            now.failureNats + Math.max(0, failure),
            now.slowNats + Math.max(0, slow));
    return new Evidence(clampScore(failureScore + failure), clampScore(slowScore + slow), next);
  }

  /** Takes back a slow outcome that turned out not to be the backend server's. */
  Evidence withoutSlowOutcome(ServiceBaseline reference) {
    double refund = logLikelihoodRatio(true, reference.normalSlowFraction());
    return new Evidence(failureScore, clampScore(slowScore - refund), burst);
  }

  private static double atMost(double change, double most) {
    return Math.min(change, Math.max(0, most));
  }

  private static double clampScore(double sum) {
    return Math.min(MAX_SCORE_NATS, Math.max(0, sum));
  }

  private static double logLikelihoodRatio(boolean bad, double normalFraction) {
    double sickFraction = Math.max(MIN_FAULTY_FRACTION, FAULTY_TO_NORMAL_RATIO * normalFraction);
    return bad
        ? Math.log(sickFraction / normalFraction)
        : Math.log((1 - sickFraction) / (1 - normalFraction));
  }

  boolean isConclusive() {
    return maxScore() >= THRESHOLD_NATS;
  }

  /** Whether the evidence is on its way to a verdict. */
  boolean isSuspicious() {
    return maxScore() >= THRESHOLD_NATS / 2;
  }

  boolean isNone() {
    return maxScore() == 0;
  }

  boolean isMostlyFailing() {
    return failureScore >= slowScore;
  }

  private double maxScore() {
    return Math.max(failureScore, slowScore);
  }
}
