package org.clementinepost.policy.routing;

import io.vavr.control.Option;
import org.clementinepost.policy.host.RequestKind;

/** What the latencies of a service's requests tell about the slowness of one of its servers. */
interface LatencyModel {
  /** Returns the model with the latencies of another response of the service. */
  LatencyModel withResponse(RequestKind kind, long serverMicros, long totalMicros);

  /**
   * Returns the outcome of a request that a backend server answered.
   *
   * @param kind the kind of the request
   * @param serverMicros the time that the server took
   * @param ownTimes the server's own earlier times, where they are known
   */
  Outcome answered(RequestKind kind, long serverMicros, RunTimeEstimates ownTimes);

  /** Returns the time within which nearly all attempts end; none if that is not known. */
  Option<Long> usualTotalMillis(RequestKind kind);

  /** Whether a time is far longer than is typical of the kind of request. */
  boolean isSlow(RequestKind kind, long micros);

  /** Returns the age at which an attempt without a response becomes overdue at the ingress. */
  long overdueAfterNanos();

  /** Whether an overdue attempt counts as slow at the ingress. */
  boolean countsOverdueAttempts();

  /** Returns the evidence of slowness, in nats, that a run gives its host before it has ended. */
  double runningNats(RequestKind kind, long ageMicros, RunTimeEstimates ownTimes);
}
