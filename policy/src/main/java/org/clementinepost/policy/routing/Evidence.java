package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.HostReport;

/**
 * The evidence of a fault of one backend server or path: two cumulative sums (CUSUM) of
 * log-likelihood ratios.
 *
 * <p>Each outcome changes a sum by the logarithm of how much likelier it is from a faulty server
 * than from a normal one. A sum never falls below zero, so that a long healthy history does not
 * delay detection. What a short window can add is bounded: a short pause makes many requests slow
 * at once, which is one piece of evidence and not many.
 *
 * @param failureScore the sum over whether outcomes failed, in nats
 * @param slowScore the sum over whether outcomes were slow, in nats
 * @param burst what the current window has added
 */
record Evidence(double failureScore, double slowScore, BurstWindow burst) {
  /** What a short window has added to the sums. */
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

  /**
   * Runs compared by their kind: a short pause changes the evidence of a long run only a little.
   */
  private static final double BURST_MAX_RUN_NATS = 8;

  /** Returns conclusive evidence for an unhealthy report of a host. */
  static Evidence ofReport(HostReport report) {
    boolean failing = report == HostReport.FAILING;
    return new Evidence(
        failing ? THRESHOLD_NATS : 0, failing ? 0 : THRESHOLD_NATS, BurstWindow.EMPTY);
  }

  Evidence withOutcome(Outcome outcome, ServiceBaseline baseline, long nowNanos) {
    BurstWindow now =
        nowNanos - burst.startNanos < BURST_WINDOW_NANOS ? burst : new BurstWindow(nowNanos, 0, 0);
    double failure =
        atMost(
            logLikelihoodRatio(outcome.failing(), baseline.normalFailingFraction()),
            BURST_MAX_FAILURE_NATS - now.failureNats);
    double slow =
        atMost(
            outcome
                .slowNats()
                .getOrElse(() -> logLikelihoodRatio(outcome.slow(), baseline.normalSlowFraction())),
            burstMaxSlowNats(outcome) - now.slowNats);
    BurstWindow next =
        new BurstWindow(
            now.startNanos,
            now.failureNats + Math.max(0, failure),
            now.slowNats + Math.max(0, slow));
    return new Evidence(clampScore(failureScore + failure), clampScore(slowScore + slow), next);
  }

  /** Takes back a slow outcome that turned out not to be the server's fault. */
  Evidence withoutSlowOutcome(ServiceBaseline baseline) {
    double refund = logLikelihoodRatio(true, baseline.normalSlowFraction());
    return new Evidence(failureScore, clampScore(slowScore - refund), burst);
  }

  private static double burstMaxSlowNats(Outcome outcome) {
    return outcome.slowNats().isDefined() ? BURST_MAX_RUN_NATS : BURST_MAX_SLOW_NATS;
  }

  private static double atMost(double change, double limit) {
    return Math.min(change, Math.max(0, limit));
  }

  private static double clampScore(double sum) {
    return Math.min(MAX_SCORE_NATS, Math.max(0, sum));
  }

  /** Returns the change of a score for one outcome, in nats. */
  private static double logLikelihoodRatio(boolean bad, double normalFraction) {
    double faultyFraction = Math.max(MIN_FAULTY_FRACTION, FAULTY_TO_NORMAL_RATIO * normalFraction);
    return bad
        ? Math.log(faultyFraction / normalFraction)
        : Math.log((1 - faultyFraction) / (1 - normalFraction));
  }

  /** Whether the evidence suffices for an ejection or an unhealthy report. */
  boolean isConclusive() {
    return maxScore() >= THRESHOLD_NATS;
  }

  /** Whether a score has reached half of the threshold. */
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
