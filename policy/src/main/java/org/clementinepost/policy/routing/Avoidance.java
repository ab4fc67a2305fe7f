package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;

/**
 * A short time in which an ingress node avoids a backend server, after a refusal or a connection
 * failure.
 *
 * @param untilNanos when the avoidance ends
 * @param capacityGone whether the server no longer takes requests, as opposed to being busy,
 *     failing or unreachable
 */
record Avoidance(long untilNanos, boolean capacityGone) {
  private static final long CAPACITY_GONE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long FAILING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  private static final long BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final Avoidance EXPIRED = new Avoidance(Long.MIN_VALUE, false);

  /** Returns the avoidance that follows from a failure; an expired one if none does. */
  static Avoidance ofFailure(Failure failure, long nowNanos) {
    switch (failure.code()) {
      case BACKEND_SERVER_DRAINING:
      case FAILURE_DOMAIN_OUT:
      case NODE_STOPPING:
        return new Avoidance(nowNanos + CAPACITY_GONE_NANOS, true);
      case PEER_UNREACHABLE:
      case PEER_LOST:
      case PEER_INCARNATION:
      case BACKEND_CONNECT_FAILED:
        return new Avoidance(nowNanos + UNREACHABLE_NANOS, false);
      case BACKEND_SERVER_FAILING:
      case BACKEND_SERVER_UNKNOWN:
        return new Avoidance(nowNanos + FAILING_NANOS, false);
      case HOST_QUEUE_FULL:
      case HOST_QUEUE_TIMEOUT:
      case BACKEND_SERVER_SHED:
      case NODE_OVERLOADED:
        return new Avoidance(nowNanos + BUSY_NANOS, false);
      default:
        return EXPIRED;
    }
  }

  boolean isActive(long nowNanos) {
    return nowNanos < untilNanos;
  }
}
