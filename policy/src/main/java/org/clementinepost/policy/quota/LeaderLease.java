package org.clementinepost.policy.quota;

import org.clementinepost.api.NodeId;

/**
 * The one place from which the quota is given out, and who has it.
 *
 * @param node the node that has it; an empty name when it was given back
 * @param incarnation the start of that node
 */
public record LeaderLease(NodeId node, long incarnation) {
  private static final LeaderLease RELEASED = new LeaderLease(new NodeId(""), 0);

  /** A seat that its keeper has given back. */
  public static LeaderLease released() {
    return RELEASED;
  }
}
