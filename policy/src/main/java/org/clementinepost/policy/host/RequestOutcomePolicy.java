package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Tells what the end of a request says of the backend server that it was sent to. */
final class RequestOutcomePolicy {
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private RequestOutcomePolicy() {}

  /**
   * Whether the request ended well; none when its end says nothing of the backend server.
   *
   * <p>A server whose call to another one has failed can only fail as well.
   *
   * @param callFailedNanos when a call of the backend server last failed
   */
  static Option<Boolean> classify(HostEvent.RequestEnded ended, long callFailedNanos) {
    if (ended.failure().isDefined()) {
      return classifyFailure(ended.failure().get());
    }
    if (ended.status() == 0) {
      return Option.none();
    }
    if (ended.status() < FIRST_SERVER_ERROR_STATUS) {
      return Option.some(true);
    }
    return callFailedNanos >= ended.sentNanos() ? Option.none() : Option.some(false);
  }

  /** A server that sheds load is busy rather than sick; a caller that left says nothing. */
  private static Option<Boolean> classifyFailure(Failure failure) {
    boolean sick =
        failure.code() == ResultCode.BACKEND_ANSWER_LOST
            || failure.code() == ResultCode.BACKEND_CONNECT_FAILED
            || failure.code() == ResultCode.BACKEND_TIMED_OUT;
    return sick ? Option.some(false) : Option.none();
  }
}
