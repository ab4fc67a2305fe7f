package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/**
 * A waiting request with what may happen to it now.
 *
 * @param request the request
 * @param verdict what may happen to it
 * @param group its group; none where the queue has no groups
 * @param retryAfterMillis when it may come back if it is refused, if that is known
 */
record ReviewedRequest(
    WaitingRequest request,
    Verdict verdict,
    Option<QueueGroup> group,
    Option<Long> retryAfterMillis) {
  /** What may happen to a waiting request. */
  enum Verdict {
    /** It is admitted if there is capacity, and waits otherwise. */
    ADMIT_OR_WAIT,
    /** It is admitted if there is capacity, and refused otherwise. */
    ADMIT_OR_REFUSE,
    /** It is refused even if there is capacity. */
    REFUSE
  }

  /** Returns the failure with which the request is refused. */
  Failure failure() {
    return new Failure(
        ResultCode.HOST_QUEUE_TIMEOUT, request.admit().server().value(), retryAfterMillis);
  }
}
