package org.clementinepost.policy.host;

import org.clementinepost.api.RequestHead;

/**
 * What a host can tell of a request's route. Requests of one kind take about the same time.
 *
 * @param idempotent whether the request may run more than once
 * @param priority the priority of the request
 * @param targetLatencyMillis the latency target of the request
 */
public record RequestKind(boolean idempotent, int priority, long targetLatencyMillis) {
  /** The kind of a request that nothing is known of. */
  public static final RequestKind UNKNOWN = new RequestKind(false, 0, 0);

  /** Returns the kind of a request. */
  public static RequestKind of(RequestHead head) {
    return new RequestKind(
        head.idempotent(), head.options().priority(), head.options().targetLatencyMillis());
  }
}
