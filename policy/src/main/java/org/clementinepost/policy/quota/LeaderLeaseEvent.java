package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import org.clementinepost.api.NodeId;

/**
 * An input to {@link LeaderLeasePolicy}.
 *
 * <p>Times come from two clocks, so that a lease can end too early for its holder, but never too
 * late. The leader measures its own lease with a clock that never runs behind, because it counts
 * the time during which the VM is suspended. Other nodes measure the time before a takeover with a
 * monotonic clock, which never runs ahead.
 */
public sealed interface LeaderLeaseEvent {
  /** A token is needed, but the leader is unknown or does not respond. */
  record LeaderUnavailable(long nowNanos) implements LeaderLeaseEvent {}

  /** The leader has responded to a token request. */
  record LeaderResponded(long nowNanos) implements LeaderLeaseEvent {}

  /** A node has answered a token request that it is not the leader. */
  record LeaderResigned(NodeId node) implements LeaderLeaseEvent {}

  /**
   * The lease row has been read.
   *
   * @param lease the content of the row; none when there is no row or its text cannot be parsed
   * @param version the version of the row, zero without a row
   */
  record RowRead(Option<LeaderLease> lease, long version, long nowNanos)
      implements LeaderLeaseEvent {}

  /**
   * The lease row has been written by this node.
   *
   * @param version the version of the row after the write
   * @param sentNanos when the write was sent, by the clock that never runs behind
   */
  record RowWritten(long version, long sentNanos) implements LeaderLeaseEvent {}

  /** A conditional write was rejected because another node wrote the row first. */
  record WriteConflict(long nowNanos) implements LeaderLeaseEvent {}

  /** A read or a write of the lease row has failed. */
  record StoreCallFailed() implements LeaderLeaseEvent {}

  /** Periodic check of the leader for expiry, renewal and release of its lease. */
  record Tick(long suspendAwareNanos) implements LeaderLeaseEvent {}

  /** This node has begun to stop. */
  record NodeStopping() implements LeaderLeaseEvent {}
}
