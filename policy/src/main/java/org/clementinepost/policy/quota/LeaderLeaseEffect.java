package org.clementinepost.policy.quota;

import org.clementinepost.api.StoreVersion;

/** An action that {@link LeaderLeasePolicy} requests from the quota service. */
public sealed interface LeaderLeaseEffect {
  /** Reads the lease row. */
  record ReadRow() implements LeaderLeaseEffect {}

  /** Writes the lease row if its version is still the expected one. */
  record WriteRow(LeaderLease lease, StoreVersion expected) implements LeaderLeaseEffect {
    /** Creates a write to a store that does not tell its era. */
    public WriteRow(LeaderLease lease, long expectedVersion) {
      this(lease, StoreVersion.of(expectedVersion));
    }
  }

  /**
   * This node has become the quota leader.
   *
   * @param firstLeader whether there was no leader before; only then do the buckets start full,
   *     since no tokens can have been issued
   */
  record BecameLeader(boolean firstLeader) implements LeaderLeaseEffect {}

  /** This node is no longer the quota leader. */
  record LostLeadership() implements LeaderLeaseEffect {}
}
