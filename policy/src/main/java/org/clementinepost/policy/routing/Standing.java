package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;

/** Whether a backend server gets its part of the requests. */
sealed interface Standing {
  /** How many times in a row the backend server has been ejected. */
  int strikes();

  /**
   * It gets requests; after a re-admission fewer at first.
   *
   * @param strikes the ejections in a row that went before
   * @param rampStartNanos when it was re-admitted
   * @param ramping whether it still gets fewer
   */
  record InUse(int strikes, long rampStartNanos, boolean ramping) implements Standing {
    private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double RAMP_MIN_WEIGHT = 0.1;
    private static final long FORGIVEN_NANOS = TimeUnit.SECONDS.toNanos(120);

    static final InUse FROM_THE_START = new InUse(0, 0, false);

    /** The part of its usual requests that it gets. */
    double weight(long nowNanos) {
      if (!ramping) {
        return 1;
      }
      double done = (double) (nowNanos - rampStartNanos) / RAMP_NANOS;
      return Math.min(1, Math.max(RAMP_MIN_WEIGHT, done));
    }

    int strikesAt(long nowNanos) {
      return nowNanos - rampStartNanos > FORGIVEN_NANOS ? 0 : strikes;
    }
  }

  /**
   * It gets none but trial requests once its time has passed.
   *
   * @param reason what the verdict rests on
   * @param strikes the ejections in a row, this one included
   * @param untilNanos when the first trial request may be sent
   * @param goodTrials trial requests that went well
   */
  record Ejected(EjectionReason reason, int strikes, long untilNanos, int goodTrials)
      implements Standing {
    private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int BACKOFF_MAX_DOUBLINGS = 2;
    private static final long TRIAL_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int TRIALS = 2;

    static Ejected after(int strikes, EjectionReason reason, long nowNanos) {
      long backoffNanos = BACKOFF_NANOS << Math.min(strikes, BACKOFF_MAX_DOUBLINGS);
      return new Ejected(reason, strikes + 1, nowNanos + backoffNanos, 0);
    }

    boolean trialDue(long nowNanos) {
      return nowNanos >= untilNanos;
    }

    /** What follows from a trial request. */
    Standing tried(Outcome outcome, long nowNanos) {
      if (!outcome.good()) {
        return after(strikes, reason, nowNanos);
      }
      if (goodTrials + 1 >= TRIALS) {
        return new InUse(strikes, nowNanos, true);
      }
      return new Ejected(reason, strikes, nowNanos + TRIAL_GAP_NANOS, goodTrials + 1);
    }
  }
}
