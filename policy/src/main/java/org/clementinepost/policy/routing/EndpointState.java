package org.clementinepost.policy.routing;

import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Endpoint;

/**
 * What an ingress node knows of one backend server.
 *
 * @param endpoint the backend server as announced
 * @param outstanding the requests of this node that it has not answered
 * @param lastAnswerNanos when it last answered one of them
 * @param evidence what speaks against it
 * @param ejectionState whether it gets requests
 */
record EndpointState(
    Endpoint endpoint,
    OutstandingRequests outstanding,
    long lastAnswerNanos,
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

  /** Whether several requests are long overdue and nothing has been heard since they were sent. */
  boolean isSilent(long nowNanos) {
    if (outstanding.overduePlacedNanos().size() < MIN_OVERDUE_FOR_SILENCE) {
      return false;
    }
    long latestNanos = outstanding.overduePlacedNanos().max().get();
    return latestNanos > lastAnswerNanos && nowNanos - latestNanos >= MIN_SILENCE_NANOS;
  }

  EndpointState withAnswerAt(long nowNanos) {
    return new EndpointState(endpoint, outstanding, nowNanos, evidence, ejectionState);
  }

  EndpointState with(Endpoint next) {
    return new EndpointState(next, outstanding, lastAnswerNanos, evidence, ejectionState);
  }

  EndpointState with(OutstandingRequests next) {
    return new EndpointState(endpoint, next, lastAnswerNanos, evidence, ejectionState);
  }

  EndpointState with(Evidence next) {
    return new EndpointState(endpoint, outstanding, lastAnswerNanos, next, ejectionState);
  }

  /** A change of standing starts the evidence anew. */
  EndpointState with(EjectionState next) {
    return new EndpointState(endpoint, outstanding, lastAnswerNanos, Evidence.NONE, next);
  }
}
