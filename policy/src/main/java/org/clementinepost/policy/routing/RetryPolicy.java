package org.clementinepost.policy.routing;

import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.RunState;

/**
 * Decides whether a request may be retried.
 *
 * <p>A request that has not run may be retried. If it is unknown whether it ran, it may be retried
 * only if it is idempotent. A request is never retried once its body has been read, since the body
 * cannot be read twice. The {@link RetryBudget} of the service is checked later, when the next
 * attempt is placed.
 */
public final class RetryPolicy {
  /** The most servers tried for a request, including those whose host refused it. */
  private static final int MAX_SERVERS_TRIED = 6;

  /** Servers tried for a free slot before the request waits in the queue of a host. */
  private static final int SERVERS_TRIED_BEFORE_WAITING = 3;

  private static final long MIN_REMAINING_MILLIS = 5;
  private static final int INTERNAL_ERROR_STATUS = 500;
  private static final int BAD_GATEWAY_STATUS = 502;
  private static final int UNAVAILABLE_STATUS = 503;

  private RetryPolicy() {}

  /**
   * Returns how the next host admits the request: only to a free slot, or with waiting. A request
   * that accepts any server keeps doing so, since it would otherwise start from the beginning.
   *
   * @param current the admission mode of the attempt before
   * @param serversTried the number of servers tried so far
   */
  public static AdmissionMode nextAdmissionMode(AdmissionMode current, int serversTried) {
    if (current == AdmissionMode.ANY_SERVER) {
      return AdmissionMode.ANY_SERVER;
    }
    return serversTried < SERVERS_TRIED_BEFORE_WAITING
        ? AdmissionMode.FREE_SLOT_ONLY
        : AdmissionMode.WAIT_FOR_SLOT;
  }

  /** Whether a failed attempt may have reached a backend server, even if the server shed it. */
  public static boolean mayHaveReachedServer(Failure failure) {
    return failure.runState() != RunState.NOT_RUN
        || failure.code() == ResultCode.BACKEND_SERVER_SHED;
  }

  /**
   * Whether a failed attempt may be followed by another.
   *
   * @param head the request at the attempt that failed
   * @param serversTried the number of servers tried so far
   * @param failure why it failed
   * @param bodyStarted whether reading the request's body has started
   * @param remainingMillis the time left until the deadline
   */
  public static boolean mayRetryFailure(
      RequestHead head,
      int serversTried,
      Failure failure,
      boolean bodyStarted,
      long remainingMillis) {
    boolean attemptsSpent = mayHaveReachedServer(failure) && !hasAttemptsLeft(head);
    if (attemptsSpent
        || !isWithinLimits(serversTried, bodyStarted, remainingMillis)
        || isNeverRetried(failure.code())) {
      return false;
    }
    if (failure.runState() == RunState.NOT_RUN) {
      return true;
    }
    return failure.runState() == RunState.UNKNOWN && head.idempotent();
  }

  /**
   * Whether a request may be retried although a backend server responded to it, with a server
   * error.
   *
   * @param head the request at the attempt that got the response
   * @param serversTried the number of servers tried so far
   * @param status the HTTP status of the response
   * @param bodyStarted whether reading the request's body has started
   * @param remainingMillis the time left until the deadline
   */
  public static boolean mayRetryAnswer(
      RequestHead head, int serversTried, int status, boolean bodyStarted, long remainingMillis) {
    boolean serverError =
        status == INTERNAL_ERROR_STATUS
            || status == BAD_GATEWAY_STATUS
            || status == UNAVAILABLE_STATUS;
    return serverError
        && head.idempotent()
        && hasAttemptsLeft(head)
        && isWithinLimits(serversTried, bodyStarted, remainingMillis);
  }

  /**
   * Whether a second attempt may be sent to another server while the first one has no response.
   *
   * @param head the request at its first attempt
   * @param serversTried the number of servers tried so far
   * @param bodyStarted whether reading the request's body has started
   * @param remainingMillis the time left until the deadline
   */
  public static boolean maySendSecondAttempt(
      RequestHead head, int serversTried, boolean bodyStarted, long remainingMillis) {
    return head.idempotent()
        && hasAttemptsLeft(head)
        && isWithinLimits(serversTried, bodyStarted, remainingMillis);
  }

  private static boolean hasAttemptsLeft(RequestHead head) {
    return head.attempt() < head.options().maxAttempts();
  }

  private static boolean isWithinLimits(
      int serversTried, boolean bodyStarted, long remainingMillis) {
    return serversTried < MAX_SERVERS_TRIED
        && remainingMillis >= MIN_REMAINING_MILLIS
        && !bodyStarted;
  }

  private static boolean isNeverRetried(ResultCode code) {
    return code == ResultCode.DUPLICATE_ATTEMPT
        || code == ResultCode.IDEMPOTENCY_KEY_IN_USE
        || code == ResultCode.INTERNAL;
  }
}
