package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.LoadReport;

/**
 * The time that a request is expected to take at a backend server.
 *
 * @param waitMicros the time until the server starts it
 * @param runMicros the time that the server then takes
 */
record ExpectedTime(long waitMicros, long runMicros) {
  /** Figures beyond this are errors of the host that sent them. */
  private static final long MAX_PLAUSIBLE_MICROS = TimeUnit.HOURS.toMicros(1);

  private static final int MAX_PLAUSIBLE_REQUESTS = 1_000_000;

  /** A server at its last slot is expected to be slower by one part in so many. */
  private static final int FULL_LOAD_SLOWDOWN_DIVISOR = 4;

  /** Whether the figures of a report may be used. */
  static boolean isPlausible(LoadReport report) {
    return report.isPlausible()
        && report.running() <= MAX_PLAUSIBLE_REQUESTS
        && report.waiting() <= MAX_PLAUSIBLE_REQUESTS
        && report.slots() <= MAX_PLAUSIBLE_REQUESTS
        && (report.refusal().isDefined() || report.running() < report.slots())
        && report.predictedWaitMicros().forAll(micros -> micros <= MAX_PLAUSIBLE_MICROS)
        && report.expectedRunMicros().forAll(micros -> micros <= MAX_PLAUSIBLE_MICROS);
  }

  /**
   * Returns the expected time by a host's reply.
   *
   * <p>The older the reply, the less it promises: its age counts as a wait.
   *
   * @param usualRunMicros the run time to assume while the host knows none
   */
  static ExpectedTime of(KnownReport known, long usualRunMicros, long nowNanos) {
    LoadReport report = known.report();
    long runMicros = report.expectedRunMicros().getOrElse(usualRunMicros);
    long slots = Math.max(1, report.slots());
    long inUse = Math.min(slots, 1L + report.running() + known.placedSince());
    long slowdownMicros = runMicros * inUse / slots / FULL_LOAD_SLOWDOWN_DIVISOR;
    long waitMicros = known.admitsNow() ? 0 : waitMicros(known, runMicros, slots);
    return new ExpectedTime(waitMicros + known.ageMicros(nowNanos), runMicros + slowdownMicros);
  }

  private static long waitMicros(KnownReport known, long runMicros, long slots) {
    LoadReport report = known.report();
    long predictedMicros =
        report.predictedWaitMicros().getOrElse(runMicros * (report.waiting() + 1L) / slots);
    return predictedMicros + runMicros * known.placedSince() / slots;
  }

  long totalMicros() {
    return waitMicros + runMicros;
  }
}
