package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Classifies the end of a request as a success or a failure of its backend server. */
final class RequestOutcomePolicy {
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private RequestOutcomePolicy() {}

  /**
   * Returns whether the request succeeded, or none if its end does not indicate the health of the
   * backend server.
   *
   * <p>A server error is not counted if a call that a backend server of this VM made to another
   * service failed after the request was sent: the error may have its cause there.
   *
   * @param lastOutgoingCallFailureNanos when such a call last failed
   */
  static Option<Boolean> classify(HostEvent.RequestEnded ended, long lastOutgoingCallFailureNanos) {
    if (ended.failure().isDefined()) {
      return classifyFailure(ended.failure().get());
    }
    if (ended.status() == 0) {
      return Option.none();
    }
    if (ended.status() < FIRST_SERVER_ERROR_STATUS) {
      return Option.some(true);
    }
    return lastOutgoingCallFailureNanos >= ended.sentNanos() ? Option.none() : Option.some(false);
  }

  /** Load shedding and a cancellation by the caller do not indicate an unhealthy server. */
  private static Option<Boolean> classifyFailure(Failure failure) {
    boolean unhealthy =
        failure.code() == ResultCode.BACKEND_ANSWER_LOST
            || failure.code() == ResultCode.BACKEND_CONNECT_FAILED
            || failure.code() == ResultCode.BACKEND_TIMED_OUT;
    return unhealthy ? Option.some(false) : Option.none();
  }
}
