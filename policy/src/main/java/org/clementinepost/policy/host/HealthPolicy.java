package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Tells what the end of a request says of the backend server that it was sent to. */
final class HealthPolicy {
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private HealthPolicy() {}

  /** Whether the request ended well; none when its end says nothing of the backend server. */
  static Option<Boolean> verdict(HostEvent.Ended ended) {
    if (ended.failure().isDefined()) {
      return ofFailure(ended.failure().get());
    }
    return ended.status() == 0
        ? Option.none()
        : Option.some(ended.status() < FIRST_SERVER_ERROR_STATUS);
  }

  /** A server that sheds load is busy rather than sick; a caller that left says nothing. */
  private static Option<Boolean> ofFailure(Failure failure) {
    boolean sick =
        failure.code() == ResultCode.BACKEND_ANSWER_LOST
            || failure.code() == ResultCode.BACKEND_CONNECT_FAILED
            || failure.code() == ResultCode.BACKEND_TIMED_OUT;
    return sick ? Option.some(false) : Option.none();
  }
}
