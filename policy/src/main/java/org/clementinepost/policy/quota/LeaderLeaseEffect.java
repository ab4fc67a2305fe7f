package org.clementinepost.policy.quota;

/** What the decision about the seat asks for. */
public sealed interface LeaderLeaseEffect {
  /** Reads the seat's row. */
  record ReadRow() implements LeaderLeaseEffect {}

  /** Writes the seat's row, if it still has a version. */
  record WriteRow(LeaderLease lease, long expectedVersion) implements LeaderLeaseEffect {}

  /**
   * This node has become the keeper.
   *
   * @param firstLeader whether nobody was before; all buckets are full then, and empty else
   */
  record BecameLeader(boolean firstLeader) implements LeaderLeaseEffect {}

  /** This node is the keeper no more. */
  record LostLeadership() implements LeaderLeaseEffect {}
}
