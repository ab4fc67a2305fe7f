package org.clementinepost.policy.routing;

import io.vavr.control.Option;
import org.clementinepost.api.ResultCode;

/**
 * Tells what the end of an attempt says of the backend server and what of the path to its host.
 *
 * <p>An answer that tells of an error is judged by the host, which sees them all and knows whether
 * the server's own calls have failed. A refusal says nothing against either, nor does a caller that
 * went away. An answer that is wrong but has a good status cannot be told from a right one here.
 */
final class OutcomePolicy {
  private OutcomePolicy() {}

  static Option<Outcome> serverOutcome(RoutingEvent.AttemptEnded ended, ServiceBaseline reference) {
    if (ended.failure().isDefined()) {
      return failureOutcome(ended.failure().get().code(), ended.totalMicros(), reference);
    }
    return answerOutcome(ended.status(), ended.serverMicros(), reference);
  }

  static Option<Outcome> hostedServerOutcome(
      RoutingEvent.HostedRequestEnded served, ServiceBaseline reference) {
    if (served.failure().isDefined()) {
      return failureOutcome(served.failure().get().code(), served.serverMicros(), reference);
    }
    return answerOutcome(served.status(), served.serverMicros(), reference);
  }

  private static Option<Outcome> answerOutcome(
      int status, long serverMicros, ServiceBaseline reference) {
    if (status == 0) {
      return Option.none();
    }
    return Option.some(new Outcome(false, reference.isSlow(serverMicros)));
  }

  /** A deadline that was too short for anyone is no failure of the backend server. */
  private static Option<Outcome> failureOutcome(
      ResultCode code, long totalMicros, ServiceBaseline reference) {
    if (code == ResultCode.BACKEND_ANSWER_LOST || code == ResultCode.BACKEND_CONNECT_FAILED) {
      return Option.some(Outcome.FAILING);
    }
    if (code == ResultCode.BACKEND_TIMED_OUT && reference.isSlow(totalMicros)) {
      return Option.some(Outcome.FAILING);
    }
    return Option.none();
  }

  static Option<Outcome> pathOutcome(RoutingEvent.AttemptEnded ended, ServiceBaseline reference) {
    if (ended.failure().isDefined()) {
      return isPathFailure(ended.failure().get().code())
          ? Option.some(Outcome.FAILING)
          : Option.none();
    }
    if (ended.status() == 0) {
      return Option.none();
    }
    boolean slow = reference.isSlowPath(ended.totalMicros() - ended.serverMicros());
    return Option.some(slow ? Outcome.SLOW : Outcome.GOOD);
  }

  private static boolean isPathFailure(ResultCode code) {
    return code == ResultCode.PEER_UNREACHABLE
        || code == ResultCode.PEER_LOST
        || code == ResultCode.PEER_PROTOCOL;
  }
}
