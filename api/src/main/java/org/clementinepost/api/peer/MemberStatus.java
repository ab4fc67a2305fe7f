package org.clementinepost.api.peer;

/** What is said of a node; at one incarnation and refutation, a later constant wins. */
public enum MemberStatus {
  /** The node takes part. */
  ALIVE,
  /** Its monitors hear nothing of the node. */
  DEAD,
  /** The node has said that it stops. */
  LEFT
}
