package org.clementinepost.policy.routing;

import org.clementinepost.api.Failure;
import org.clementinepost.api.Insistence;
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
  /** Places that a request may ask before it is refused, whether or not any has sent it on. */
  private static final int MAX_SERVERS_TRIED = 6;

  /** Places that are asked for a free slot before a request waits for one. */
  private static final int SERVERS_TRIED_BEFORE_WAITING = 3;

  private static final long MIN_REMAINING_MILLIS = 5;
  private static final int INTERNAL_ERROR_STATUS = 500;
  private static final int BAD_GATEWAY_STATUS = 502;
  private static final int UNAVAILABLE_STATUS = 503;

  private RetryPolicy() {}

  /** How far a request goes at its next place. */
  public static Insistence admissionMode(int places) {
    return places < SERVERS_TRIED_BEFORE_WAITING ? Insistence.FREE_SLOT : Insistence.WAITS;
  }

  /** Whether a failed attempt may have reached a backend server, if only to be shed there. */
  public static boolean mayHaveReachedServer(Failure failure) {
    return failure.runState() != RunState.NOT_RUN
        || failure.code() == ResultCode.BACKEND_SERVER_SHED;
  }

  /**
   * Decides on one failed attempt.
   *
   * @param head the request at the attempt that failed
   * @param places the places that have been asked
   * @param failure how it failed
   * @param bodyStarted whether its body has been touched
   * @param remainingMillis the time left until the deadline
   */
  public static boolean mayRetryFailure(
      RequestHead head, int places, Failure failure, boolean bodyStarted, long remainingMillis) {
    boolean spent = mayHaveReachedServer(failure) && !hasAttemptsLeft(head);
    if (spent
        || !isWithinLimits(places, bodyStarted, remainingMillis)
        || isNeverRetried(failure.code())) {
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
   * @param places the places that have been asked
   * @param status the status of the answer
   * @param bodyStarted whether the request's body has been touched
   * @param remainingMillis the time left until the deadline
   */
  public static boolean mayRetryAnswer(
      RequestHead head, int places, int status, boolean bodyStarted, long remainingMillis) {
    boolean serverError =
        status == INTERNAL_ERROR_STATUS
            || status == BAD_GATEWAY_STATUS
            || status == UNAVAILABLE_STATUS;
    return serverError
        && head.idempotent()
        && hasAttemptsLeft(head)
        && isWithinLimits(places, bodyStarted, remainingMillis);
  }

  private static boolean hasAttemptsLeft(RequestHead head) {
    return head.attempt() < head.handling().maxAttempts();
  }

  private static boolean isWithinLimits(int places, boolean bodyStarted, long remainingMillis) {
    return places < MAX_SERVERS_TRIED && remainingMillis >= MIN_REMAINING_MILLIS && !bodyStarted;
  }

  private static boolean isNeverRetried(ResultCode code) {
    return code == ResultCode.DUPLICATE_ATTEMPT
        || code == ResultCode.IDEMPOTENCY_KEY_IN_USE
        || code == ResultCode.INTERNAL;
  }
}
