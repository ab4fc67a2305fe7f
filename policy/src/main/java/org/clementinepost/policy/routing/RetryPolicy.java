package org.clementinepost.policy.routing;

import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.RunState;

/**
 * Decides whether a failed attempt may be followed by another.
 *
 * <p>A request that has not run may be sent again. One whose fate is unknown may be only if it is
 * idempotent. Nobody tries again once the body has been read, since it cannot be read twice. The
 * service's {@link RetryBudget} has the last word when the next attempt is placed.
 */
public final class RetryPolicy {
  private static final int MAX_ATTEMPTS = 3;
  private static final long MIN_REMAINING_MILLIS = 5;
  private static final int INTERNAL_ERROR_STATUS = 500;
  private static final int BAD_GATEWAY_STATUS = 502;
  private static final int UNAVAILABLE_STATUS = 503;

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
    if (!hasRoom(head, bodyStarted, remainingMillis) || isFinal(failure.code())) {
      return false;
    }
    if (failure.runState() == RunState.NOT_RUN) {
      return true;
    }
    return failure.runState() == RunState.UNKNOWN && head.idempotent();
  }

  /**
   * Decides on an answer by which a backend server tells of an error of its own.
   *
   * @param head the request at the attempt that was answered
   * @param status the status of the answer
   * @param bodyStarted whether the request's body has been touched
   * @param remainingMillis the time left until the deadline
   */
  public static boolean mayReplaceAnswer(
      RequestHead head, int status, boolean bodyStarted, long remainingMillis) {
    boolean serverError =
        status == INTERNAL_ERROR_STATUS
            || status == BAD_GATEWAY_STATUS
            || status == UNAVAILABLE_STATUS;
    return serverError && head.idempotent() && hasRoom(head, bodyStarted, remainingMillis);
  }

  private static boolean hasRoom(RequestHead head, boolean bodyStarted, long remainingMillis) {
    return head.attempt() < MAX_ATTEMPTS && remainingMillis >= MIN_REMAINING_MILLIS && !bodyStarted;
  }

  private static boolean isFinal(ResultCode code) {
    return code == ResultCode.DUPLICATE_ATTEMPT
        || code == ResultCode.IDEMPOTENCY_KEY_IN_USE
        || code == ResultCode.INTERNAL;
  }
}
