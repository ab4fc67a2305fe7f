package org.clementinepost.policy.quota;

import io.vavr.control.Option;

/**
 * What the decision about the seat is told.
 *
 * <p>Times come from two clocks. A keeper's own lease is counted by one that never runs behind, and
 * the time for which others wait by one that never runs ahead.
 */
public sealed interface LeaderLeaseEvent {
  /** The keeper is needed, and is unknown or does not answer. */
  record LeaderUnavailable(long nowNanos) implements LeaderLeaseEvent {}

  /** The keeper has answered. */
  record LeaderResponded(long nowNanos) implements LeaderLeaseEvent {}

  /**
   * The seat's row has been read.
   *
   * @param lease what it says; none when there is no row or it cannot be read
   * @param version its version, zero without a row
   */
  record RowRead(Option<LeaderLease> lease, long version, long nowNanos)
      implements LeaderLeaseEvent {}

  /**
   * The seat's row has been written for this node.
   *
   * @param version its version
   * @param sentNanos when the write was sent, by the clock that never runs behind
   */
  record RowWritten(long version, long sentNanos) implements LeaderLeaseEvent {}

  /** A write was refused, since somebody else was first. */
  record WriteConflict(long nowNanos) implements LeaderLeaseEvent {}

  /** A read or a write has failed. */
  record StoreCallFailed() implements LeaderLeaseEvent {}

  /** Time has passed. */
  record Tick(long suspendAwareNanos) implements LeaderLeaseEvent {}

  /** The node is stopping. */
  record NodeStopping() implements LeaderLeaseEvent {}
}
