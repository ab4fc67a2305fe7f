package org.clementinepost.policy.routing;

import io.vavr.control.Option;
import org.clementinepost.api.ResultCode;
import org.clementinepost.policy.host.RequestKind;

/**
 * Derives from the end of an attempt the outcome for the backend server and for the path to its
 * host.
 *
 * <p>A response with an error status is not a failure here. The host evaluates these responses,
 * since it sees all of them and knows whether the server's own outgoing calls have failed. A
 * refusal or a caller that disconnected is no evidence against the server or the path. A wrong
 * response with a success status cannot be distinguished from a correct one.
 */
final class OutcomePolicy {
  private OutcomePolicy() {}

  static Option<Outcome> serverOutcome(RoutingEvent.AttemptEnded ended, ServiceBaseline baseline) {
    if (ended.failure().isDefined()) {
      return failureOutcome(
          ended.failure().get().code(), ended.kind(), ended.totalMicros(), baseline);
    }
    return responseOutcome(
        ended.status(), ended.kind(), ended.serverMicros(), RunTimeEstimates.NONE, baseline);
  }

  static Option<Outcome> hostedServerOutcome(
      RoutingEvent.HostedRequestEnded ended, HostedRuns runs, ServiceBaseline baseline) {
    RequestKind kind = ended.request().kind();
    if (ended.failure().isDefined()) {
      return failureOutcome(ended.failure().get().code(), kind, ended.serverMicros(), baseline);
    }
    return runs.withoutCountedEvidence(
        ended.request().id(),
        responseOutcome(ended.status(), kind, ended.serverMicros(), runs.times(), baseline));
  }

  private static Option<Outcome> responseOutcome(
      int status,
      RequestKind kind,
      long serverMicros,
      RunTimeEstimates ownTimes,
      ServiceBaseline baseline) {
    if (status == 0) {
      return Option.none();
    }
    return Option.some(baseline.latency().answered(kind, serverMicros, ownTimes));
  }

  /**
   * Counts a timeout only after a slow attempt: a deadline that is too short is not the server's
   * fault.
   */
  private static Option<Outcome> failureOutcome(
      ResultCode code, RequestKind kind, long totalMicros, ServiceBaseline baseline) {
    if (code == ResultCode.BACKEND_ANSWER_LOST || code == ResultCode.BACKEND_CONNECT_FAILED) {
      return Option.some(Outcome.FAILING);
    }
    if (code == ResultCode.BACKEND_TIMED_OUT && baseline.latency().isSlow(kind, totalMicros)) {
      return Option.some(Outcome.FAILING);
    }
    return Option.none();
  }

  static Option<Outcome> pathOutcome(RoutingEvent.AttemptEnded ended, ServiceBaseline baseline) {
    if (ended.failure().isDefined()) {
      return isPathFailure(ended.failure().get().code())
          ? Option.some(Outcome.FAILING)
          : Option.none();
    }
    if (ended.status() == 0) {
      return Option.none();
    }
    boolean slow = baseline.isSlowPath(ended.totalMicros() - ended.serverMicros());
    return Option.some(slow ? Outcome.SLOW : Outcome.GOOD);
  }

  private static boolean isPathFailure(ResultCode code) {
    return code == ResultCode.PEER_UNREACHABLE
        || code == ResultCode.PEER_LOST
        || code == ResultCode.PEER_PROTOCOL;
  }
}
