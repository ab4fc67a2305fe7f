package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Endpoint;

/**
 * The state that an ingress node keeps for one backend server.
 *
 * @param endpoint the backend server as last announced
 * @param outstanding the requests of this node that the server has not answered
 * @param lastResponseNanos when the server last responded to a request of this node
 * @param evidence the evidence of a fault of the server
 * @param ejectionState whether the server is in use or ejected
 */
record EndpointState(
    Endpoint endpoint,
    OutstandingRequests outstanding,
    long lastResponseNanos,
    Evidence evidence,
    EjectionState ejectionState) {
  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;
  private static final int MIN_OVERDUE_FOR_SILENCE = 2;
  private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  static EndpointState of(Endpoint endpoint) {
    return new EndpointState(
        endpoint,
        OutstandingRequests.NONE,
        NEVER_NANOS,
        Evidence.NONE,
        EjectionState.InUse.NEVER_EJECTED);
  }

  boolean isInUse() {
    return ejectionState instanceof EjectionState.InUse;
  }

  /** Whether several requests are long overdue and no response has arrived since they were sent. */
  boolean isSilent(long nowNanos) {
    if (outstanding.overduePlacedNanos().size() < MIN_OVERDUE_FOR_SILENCE) {
      return false;
    }
    long latestNanos = outstanding.overduePlacedNanos().max().get();
    return latestNanos > lastResponseNanos && nowNanos - latestNanos >= MIN_SILENCE_NANOS;
  }

  EndpointState withResponseAt(long nowNanos) {
    return new EndpointState(endpoint, outstanding, nowNanos, evidence, ejectionState);
  }

  EndpointState with(Endpoint next) {
    return new EndpointState(next, outstanding, lastResponseNanos, evidence, ejectionState);
  }

  EndpointState with(OutstandingRequests next) {
    return new EndpointState(endpoint, next, lastResponseNanos, evidence, ejectionState);
  }

  EndpointState with(Evidence next) {
    return new EndpointState(endpoint, outstanding, lastResponseNanos, next, ejectionState);
  }

  /** Returns a copy in another ejection state, which starts without evidence. */
  EndpointState with(EjectionState next) {
    return new EndpointState(endpoint, outstanding, lastResponseNanos, Evidence.NONE, next);
  }
}
