package org.clementinepost.node.quota;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.QuotaPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.quota.LeaderLease;
import org.clementinepost.storage.rows.RowPage;

/** What the quota service is told. */
public sealed interface QuotaServiceMessage {
  /** Asks for a token for a request of a customer. */
  record TakeToken(RequestHead head, Reply<Either<Failure, RequestHead>> reply)
      implements QuotaServiceMessage {}

  /** Another node has sent a message. */
  record FromPeer(NodeId from, QuotaPeerMessage message) implements QuotaServiceMessage {}

  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements QuotaServiceMessage {}

  /** The number of nodes has changed. */
  record NodeCountChanged(int nodes) implements QuotaServiceMessage {}

  /** The seat's row has been read, or has not. */
  record LeaseRowRead(Either<Failure, RowPage> page) implements QuotaServiceMessage {}

  /**
   * The seat's row has been written, or has not.
   *
   * @param sentNanos when the write was sent, by the clock that never runs behind
   */
  record LeaseRowWritten(LeaderLease lease, long sentNanos, Either<Failure, Long> version)
      implements QuotaServiceMessage {}

  /** It is time to find the keeper. */
  record FindLeader() implements QuotaServiceMessage {}

  /** It is time to look after questions without an answer. */
  record Sweep() implements QuotaServiceMessage {}

  /** It is time to renew the lease of the seat. */
  record Tick() implements QuotaServiceMessage {}

  /** The node is stopping. */
  record NodeStopping() implements QuotaServiceMessage {}
}
