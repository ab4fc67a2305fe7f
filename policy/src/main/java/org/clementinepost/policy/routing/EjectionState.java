package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;

/** Whether a backend server gets its part of the requests. */
sealed interface EjectionState {
  /** How many times in a row the backend server has been ejected. */
  int consecutiveEjections();

  /**
   * It gets requests; after a re-admission fewer at first.
   *
   * @param consecutiveEjections the ejections in a row that went before
   * @param rampStartNanos when it was re-admitted
   * @param ramping whether it still gets fewer
   */
  record InUse(int consecutiveEjections, long rampStartNanos, boolean ramping)
      implements EjectionState {
    private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double RAMP_MIN_WEIGHT = 0.1;
    private static final long EJECTION_COUNT_RESET_NANOS = TimeUnit.SECONDS.toNanos(120);

    static final InUse NEVER_EJECTED = new InUse(0, 0, false);

    /** The part of its usual requests that it gets. */
    double weight(long nowNanos) {
      if (!ramping) {
        return 1;
      }
      double done = (double) (nowNanos - rampStartNanos) / RAMP_NANOS;
      return Math.min(1, Math.max(RAMP_MIN_WEIGHT, done));
    }

    int consecutiveEjectionsAt(long nowNanos) {
      return nowNanos - rampStartNanos > EJECTION_COUNT_RESET_NANOS ? 0 : consecutiveEjections;
    }
  }

  /**
   * It gets none but trial requests once its time has passed.
   *
   * @param reason what the verdict rests on
   * @param consecutiveEjections the ejections in a row, this one included
   * @param nextTrialNanos when the first trial request may be sent
   * @param successfulTrials trial requests that went well
   */
  record Ejected(
      EjectionReason reason, int consecutiveEjections, long nextTrialNanos, int successfulTrials)
      implements EjectionState {
    private static final long BASE_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    private static final long TRIAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int TRIALS_FOR_READMISSION = 2;

    static Ejected withBackoff(int strikes, EjectionReason reason, long nowNanos) {
      long backoffNanos = BASE_BACKOFF_NANOS << Math.min(strikes, MAX_BACKOFF_DOUBLINGS);
      return new Ejected(reason, strikes + 1, nowNanos + backoffNanos, 0);
    }

    boolean isTrialDue(long nowNanos) {
      return nowNanos >= nextTrialNanos;
    }

    /** What follows from a trial request. */
    EjectionState withTrialOutcome(Outcome outcome, long nowNanos) {
      if (!outcome.isGood()) {
        return withBackoff(consecutiveEjections, reason, nowNanos);
      }
      if (successfulTrials + 1 >= TRIALS_FOR_READMISSION) {
        return new InUse(consecutiveEjections, nowNanos, true);
      }
      return new Ejected(
          reason, consecutiveEjections, nowNanos + TRIAL_INTERVAL_NANOS, successfulTrials + 1);
    }
  }
}
