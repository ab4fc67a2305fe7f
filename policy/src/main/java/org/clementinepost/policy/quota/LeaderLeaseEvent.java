package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.StoreVersion;

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
   * @param writtenEra the era in which the writer of the row believed the store to be; zero without
   *     a row
   * @param version the version of the row, number zero without a row, in the store's present era
   * @param suspendAwareNanos the time by the clock that never runs behind
   */
  record RowRead(
      Option<LeaderLease> lease,
      long writtenEra,
      StoreVersion version,
      long nowNanos,
      long suspendAwareNanos)
      implements LeaderLeaseEvent {
    /** Creates the event for a store that does not tell its era. */
    public RowRead(Option<LeaderLease> lease, long version, long nowNanos) {
      this(lease, 0, StoreVersion.of(version), nowNanos, nowNanos);
    }
  }

  /**
   * The lease row has been written by this node.
   *
   * @param version the version of the row after the write
   * @param sentNanos when the write was sent, by the clock that never runs behind
   * @param nowNanos the time by the monotonic clock
   */
  record RowWritten(StoreVersion version, long sentNanos, long nowNanos)
      implements LeaderLeaseEvent {
    /** Creates the event for a store that does not tell its era. */
    public RowWritten(long version, long sentNanos) {
      this(StoreVersion.of(version), sentNanos, sentNanos);
    }
  }

  /** A write named a version of an earlier era; it may have replaced another one. */
  record WriteInLostHistory(long nowNanos) implements LeaderLeaseEvent {}

  /** The store has come back from an older copy, in an era. */
  record EraBegan(long era, long nowNanos) implements LeaderLeaseEvent {}

  /** A conditional write was rejected because another node wrote the row first. */
  record WriteConflict(long nowNanos) implements LeaderLeaseEvent {}

  /** A read or a write of the lease row has failed. */
  record StoreCallFailed() implements LeaderLeaseEvent {}

  /** Periodic check of the leader for expiry, renewal and release of its lease. */
  record Tick(long suspendAwareNanos) implements LeaderLeaseEvent {}

  /** This node has begun to stop. */
  record NodeStopping() implements LeaderLeaseEvent {}
}
