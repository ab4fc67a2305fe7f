package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;

/**
 * A hint to leave a backend server alone for a moment, after a refusal.
 *
 * @param untilNanos when the hint has grown too old
 * @param departed whether its capacity is gone rather than busy
 */
record Hold(long untilNanos, boolean departed) {
  private static final long DEPARTED_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long FAILING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  private static final long BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final Hold NO_HOLD = new Hold(Long.MIN_VALUE, false);

  /** The hint that a failure gives; one already past when it gives none. */
  static Hold after(Failure failure, long nowNanos) {
    switch (failure.code()) {
      case BACKEND_SERVER_DRAINING:
      case FAILURE_DOMAIN_OUT:
      case NODE_STOPPING:
        return new Hold(nowNanos + DEPARTED_NANOS, true);
      case PEER_UNREACHABLE:
      case PEER_LOST:
      case PEER_INCARNATION:
      case BACKEND_CONNECT_FAILED:
        return new Hold(nowNanos + UNREACHABLE_NANOS, false);
      case BACKEND_SERVER_FAILING:
      case BACKEND_SERVER_UNKNOWN:
        return new Hold(nowNanos + FAILING_NANOS, false);
      case HOST_QUEUE_FULL:
      case HOST_QUEUE_TIMEOUT:
      case BACKEND_SERVER_SHED:
      case NODE_OVERLOADED:
        return new Hold(nowNanos + BUSY_NANOS, false);
      default:
        return NO_HOLD;
    }
  }

  boolean stands(long nowNanos) {
    return nowNanos < untilNanos;
  }
}
