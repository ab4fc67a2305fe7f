package org.clementinepost.policy.host;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Classifies the end of a request as a success or a failure of its backend server. */
final class RequestOutcomePolicy {
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  /** A request needs up to this many times the usual time of a run. */
  private static final long TIMEOUT_MIN_RATIO = 2;

  private RequestOutcomePolicy() {}

  /**
   * Returns whether the request succeeded, or none if its end does not indicate the health of the
   * backend server.
   *
   * <p>A server error is not counted if a call that a backend server of this VM made to another
   * service failed after the request was sent: the error may have its cause there. A timeout is not
   * counted if the request was given less time than such requests usually need, since a healthy
   * server would not have answered either.
   *
   * @param lastOutgoingCallFailureNanos when such a call last failed
   * @param expectedNanos the time that the server usually takes for such a request
   * @param targetLatencyMillis the latency target of the request, by which the time is judged that
   *     a request was given while the usual time is unknown
   */
  static Option<Boolean> classify(
      HostEvent.RequestEnded ended,
      long lastOutgoingCallFailureNanos,
      Option<Long> expectedNanos,
      long targetLatencyMillis) {
    if (ended.failure().isDefined()) {
      long neededNanos =
          expectedNanos
              .map(nanos -> nanos * TIMEOUT_MIN_RATIO)
              .getOrElse(() -> TimeUnit.MILLISECONDS.toNanos(targetLatencyMillis));
      return classifyFailure(
          ended.failure().get(), TimeUnit.MICROSECONDS.toNanos(ended.serverMicros()), neededNanos);
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
  private static Option<Boolean> classifyFailure(
      Failure failure, long givenNanos, long neededNanos) {
    boolean unhealthy =
        failure.code() == ResultCode.BACKEND_ANSWER_LOST
            || failure.code() == ResultCode.BACKEND_CONNECT_FAILED
            || (failure.code() == ResultCode.BACKEND_TIMED_OUT && givenNanos >= neededNanos);
    return unhealthy ? Option.some(false) : Option.none();
  }
}
