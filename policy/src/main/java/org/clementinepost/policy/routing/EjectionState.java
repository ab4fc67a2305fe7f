package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;

/** Whether a backend server is in use or ejected. */
sealed interface EjectionState {
  /** The number of ejections in a row; it determines the next backoff. */
  int consecutiveEjections();

  /**
   * The server gets requests; after a re-admission its share ramps up.
   *
   * @param consecutiveEjections the ejections in a row before this state
   * @param rampStartNanos when the server was re-admitted
   * @param ramping whether the server was re-admitted, so that its share ramps up
   */
  record InUse(int consecutiveEjections, long rampStartNanos, boolean ramping)
      implements EjectionState {
    private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double RAMP_MIN_WEIGHT = 0.1;
    private static final long EJECTION_COUNT_RESET_NANOS = TimeUnit.SECONDS.toNanos(120);

    static final InUse NEVER_EJECTED = new InUse(0, 0, false);

    /** Returns the fraction of its full share of requests that the server gets. */
    double weight(long nowNanos) {
      if (!ramping) {
        return 1;
      }
      double rampFraction = (double) (nowNanos - rampStartNanos) / RAMP_NANOS;
      return Math.min(1, Math.max(RAMP_MIN_WEIGHT, rampFraction));
    }

    /** Returns the ejections in a row; they are reset after enough time in use. */
    int consecutiveEjectionsAt(long nowNanos) {
      return nowNanos - rampStartNanos > EJECTION_COUNT_RESET_NANOS ? 0 : consecutiveEjections;
    }
  }

  /**
   * The server gets no requests, and after a backoff only trial requests.
   *
   * <p>A node may have no request that can serve as a trial, so the ejection also ends by itself a
   * while after a trial was due.
   *
   * @param reason why the server was ejected
   * @param consecutiveEjections the ejections in a row, this one included
   * @param nextTrialNanos when the next trial request may be sent
   * @param successfulTrials the number of trial requests that succeeded since the ejection
   */
  record Ejected(
      EjectionReason reason, int consecutiveEjections, long nextTrialNanos, int successfulTrials)
      implements EjectionState {
    private static final long BASE_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    private static final long TRIAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int TRIALS_FOR_READMISSION = 2;
    private static final long MAX_WAIT_FOR_TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Returns an ejection whose backoff doubles with the ejections before it, up to a limit. */
    static Ejected withBackoff(int previousEjections, EjectionReason reason, long nowNanos) {
      long backoffNanos = BASE_BACKOFF_NANOS << Math.min(previousEjections, MAX_BACKOFF_DOUBLINGS);
      return new Ejected(reason, previousEjections + 1, nowNanos + backoffNanos, 0);
    }

    boolean isTrialDue(long nowNanos) {
      return nowNanos >= nextTrialNanos;
    }

    /** Whether no trial request has ended for so long that the ejection ends without one. */
    boolean isExpired(long nowNanos) {
      return nowNanos - nextTrialNanos >= MAX_WAIT_FOR_TRIAL_NANOS;
    }

    /** Returns the state in which the server is in use again, with a share that ramps up. */
    InUse readmitted(long nowNanos) {
      return new InUse(consecutiveEjections, nowNanos, true);
    }

    /**
     * Returns the state after a trial request: enough successes re-admit the server, and a failure
     * starts the next backoff.
     */
    EjectionState withTrialOutcome(Outcome outcome, long nowNanos) {
      if (!outcome.isGood()) {
        return withBackoff(consecutiveEjections, reason, nowNanos);
      }
      if (successfulTrials + 1 >= TRIALS_FOR_READMISSION) {
        return readmitted(nowNanos);
      }
      return new Ejected(
          reason, consecutiveEjections, nowNanos + TRIAL_INTERVAL_NANOS, successfulTrials + 1);
    }
  }
}
