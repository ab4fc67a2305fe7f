package org.clementinepost.node.quota;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Customer;
import org.clementinepost.kernel.Reply;

/**
 * A customer's request that waits for a token from the quota leader.
 *
 * @param head the head of the request
 * @param customer the customer, as the configuration had it when the request came
 * @param configurationVersion the version of that configuration
 * @param reply receives the request's head when it is admitted, or the reason why it is refused
 * @param startedNanos when the wait began
 * @param sentToLeader whether a token request for it has been sent to a leader
 * @param overdue whether the leader's response is overdue
 */
record PendingRequest(
    RequestHead head,
    Customer customer,
    long configurationVersion,
    Reply<Either<Failure, RequestHead>> reply,
    long startedNanos,
    boolean sentToLeader,
    boolean overdue) {
  PendingRequest asSentToLeader() {
    return new PendingRequest(
        head, customer, configurationVersion, reply, startedNanos, true, overdue);
  }

  PendingRequest asNotSentToLeader() {
    return new PendingRequest(
        head, customer, configurationVersion, reply, startedNanos, false, overdue);
  }

  PendingRequest asOverdue() {
    return new PendingRequest(
        head, customer, configurationVersion, reply, startedNanos, sentToLeader, true);
  }
}
