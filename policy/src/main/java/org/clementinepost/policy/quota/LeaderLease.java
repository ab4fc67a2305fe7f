package org.clementinepost.policy.quota;

import org.clementinepost.api.NodeId;

/**
 * Identifies the holder of the lease that makes one node the quota leader.
 *
 * @param node the node that holds the lease; the name is empty after a release
 * @param incarnation the incarnation of that node, which changes at each start of its process
 */
public record LeaderLease(NodeId node, long incarnation) {
  private static final LeaderLease RELEASED = new LeaderLease(new NodeId(""), 0);

  /** Returns the value that a leader writes into the lease row to release the lease. */
  public static LeaderLease released() {
    return RELEASED;
  }
}
