package org.clementinepost.node.edge;

import io.vavr.collection.Set;
import io.vavr.control.Either;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RunState;
import org.clementinepost.node.exchange.BackendResponse;

/**
 * The end of an attempt, or of two concurrent attempts of a request.
 *
 * @param head the request at the attempt with the highest number
 * @param triedServers the backend servers that the request has tried
 * @param result the response or the failure
 */
record AttemptEnd(
    RequestHead head, Set<BackendServerId> triedServers, Either<Failure, BackendResponse> result) {
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  /** Whether a backend server responded without a server error. */
  boolean isGood() {
    return result.exists(response -> response.head().status() < FIRST_SERVER_ERROR_STATUS);
  }

  void discard() {
    result.forEach(BackendResponse::discard);
  }

  /**
   * Returns the end of this attempt and a concurrent one that ended later; releases the result not
   * returned.
   */
  AttemptEnd merge(AttemptEnd later) {
    boolean keepsLater = later.isGood() || later.result == moreInformative(result, later.result);
    (keepsLater ? this : later).discard();
    return new AttemptEnd(
        head.attempt() > later.head.attempt() ? head : later.head,
        triedServers.union(later.triedServers),
        keepsLater ? later.result : result);
  }

  /**
   * Returns the result that tells the caller more about the request.
   *
   * <p>A backend server's response is preferred to a failure. Of two failures, the second is
   * returned unless only the first attempt may have run: a refusal of the second attempt does not
   * mean that the request has not run.
   */
  static Either<Failure, BackendResponse> moreInformative(
      Either<Failure, BackendResponse> first, Either<Failure, BackendResponse> second) {
    if (second.isRight() || first.isRight()) {
      return second.isRight() ? second : first;
    }
    boolean secondMayHaveRun = second.getLeft().runState() != RunState.NOT_RUN;
    boolean firstMayHaveRun = first.getLeft().runState() != RunState.NOT_RUN;
    return secondMayHaveRun || !firstMayHaveRun ? second : first;
  }
}
