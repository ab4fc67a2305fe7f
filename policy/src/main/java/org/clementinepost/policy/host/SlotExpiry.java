package org.clementinepost.policy.host;

import io.vavr.Tuple2;
import io.vavr.collection.Map;
import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Step;

/**
 * Takes slots back whose requests must have ended.
 *
 * <p>A slot is a lease: no request runs past its deadline, so one that has not reported its end by
 * then never will. Without the expiry, each lost report would cost its server a slot for good.
 */
final class SlotExpiry {
  /** The time after the deadline in which the end of a request is still reported. */
  private static final long GRACE_MILLIS = 1_000;

  /** A request without a timeout of its own holds its slot for this time at most. */
  private static final long MAX_TIMEOUT_MILLIS = TimeUnit.HOURS.toMillis(1);

  private SlotExpiry() {}

  /** Returns the time for which a request may hold its slot. */
  static long maxHeldNanos(long timeoutMillis) {
    return TimeUnit.MILLISECONDS.toNanos(
        Math.min(timeoutMillis, MAX_TIMEOUT_MILLIS) + GRACE_MILLIS);
  }

  static Step<HostState, HostEffect> release(HostState state, long nowNanos) {
    Map<Long, AdmittedRequest> expired =
        state.admissions().filterValues(request -> request.isExpired(nowNanos));
    Step<HostState, HostEffect> step = Step.to(state);
    for (Tuple2<Long, AdmittedRequest> entry : expired) {
      step =
          step.then(current -> Step.to(current.withSlotExpired(entry._1, nowNanos)))
              .with(new HostEffect.SlotExpired(entry._2, nowNanos - entry._2.admittedNanos()));
    }
    return step;
  }
}
