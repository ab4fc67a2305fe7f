package org.clementinepost.node.quota;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;

/**
 * A request that waits for the keeper's answer.
 *
 * @param head the request
 * @param reply takes the answer
 * @param startedNanos since when it waits
 * @param sentToLeader whether a keeper has been asked
 * @param overdue whether the keeper has let it wait too long
 */
record PendingRequest(
    RequestHead head,
    Reply<Either<Failure, RequestHead>> reply,
    long startedNanos,
    boolean sentToLeader,
    boolean overdue) {
  PendingRequest asSentToLeader() {
    return new PendingRequest(head, reply, startedNanos, true, overdue);
  }

  PendingRequest asNotSentToLeader() {
    return new PendingRequest(head, reply, startedNanos, false, overdue);
  }

  PendingRequest asOverdue() {
    return new PendingRequest(head, reply, startedNanos, sentToLeader, true);
  }
}
