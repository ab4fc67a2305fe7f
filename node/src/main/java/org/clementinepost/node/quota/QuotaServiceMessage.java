package org.clementinepost.node.quota;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.QuotaPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.quota.LeaderLease;
import org.clementinepost.storage.rows.RowPage;

/** A message to the {@link QuotaService}. */
public sealed interface QuotaServiceMessage {
  /** Requests a token for a customer's request. */
  record TakeToken(RequestHead head, Reply<Either<Failure, RequestHead>> reply)
      implements QuotaServiceMessage {}

  /** Another node has sent a token request or a token response. */
  record FromPeer(NodeId from, QuotaPeerMessage message) implements QuotaServiceMessage {}

  /** A new configuration has taken effect. */
  record Configured(Snapshot snapshot) implements QuotaServiceMessage {}

  /** The number of nodes in the fleet has changed. */
  record NodeCountChanged(int nodes) implements QuotaServiceMessage {}

  /** A read of the lease row has succeeded or failed. */
  record LeaseRowRead(Either<Failure, RowPage> page) implements QuotaServiceMessage {}

  /**
   * A write of the lease row has succeeded or failed.
   *
   * @param sentNanos when the write was sent, by the clock that also counts suspended time
   */
  record LeaseRowWritten(LeaderLease lease, long sentNanos, Either<Failure, StoreVersion> version)
      implements QuotaServiceMessage {}

  /** The store has come back from an older copy, in an era. */
  record StoreEraChanged(long era) implements QuotaServiceMessage {}

  /** Looks up the quota leader. */
  record FindLeader() implements QuotaServiceMessage {}

  /** Checks the pending requests for responses that are overdue. */
  record Sweep() implements QuotaServiceMessage {}

  /** Checks whether the leader's lease must be renewed or released, or has expired. */
  record Tick() implements QuotaServiceMessage {}

  /** This node has begun to stop. */
  record NodeStopping() implements QuotaServiceMessage {}
}
