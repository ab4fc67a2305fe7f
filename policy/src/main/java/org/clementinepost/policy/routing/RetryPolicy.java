package org.clementinepost.policy.routing;

import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.RunState;

/**
 * Decides whether a failed attempt may be followed by another.
 *
 * <p>A request that has not run may be sent again. One whose fate is unknown may be only if it is
 * idempotent. Nobody tries again once the body has been read, since it cannot be read twice.
 */
public final class RetryPolicy {
  private static final int MAX_ATTEMPTS = 3;
  private static final long MIN_REMAINING_MILLIS = 5;

  private RetryPolicy() {}

  /**
   * Decides on one failed attempt.
   *
   * @param head the request at the attempt that failed
   * @param failure how it failed
   * @param bodyStarted whether its body has been touched
   * @param remainingMillis the time left until the deadline
   */
  public static boolean mayTryAgain(
      RequestHead head, Failure failure, boolean bodyStarted, long remainingMillis) {
    if (head.attempt() >= MAX_ATTEMPTS || remainingMillis < MIN_REMAINING_MILLIS) {
      return false;
    }
    if (bodyStarted || isFinal(failure.code())) {
      return false;
    }
    if (failure.runState() == RunState.NOT_RUN) {
      return true;
    }
    return failure.runState() == RunState.UNKNOWN && head.idempotent();
  }

  private static boolean isFinal(ResultCode code) {
    return code == ResultCode.DUPLICATE_ATTEMPT
        || code == ResultCode.IDEMPOTENCY_KEY_IN_USE
        || code == ResultCode.BACKEND_TIMED_OUT
        || code == ResultCode.INTERNAL;
  }
}
