package org.clementinepost.api.peer;

/**
 * The reported status of a node. Of two updates with the same incarnation and refutation, the one
 * with the later constant wins.
 */
public enum MemberStatus {
  /** The node is part of the fleet. */
  ALIVE,
  /** The monitors of the node cannot reach it. */
  DEAD,
  /** The node has announced that it is stopping. */
  LEFT
}
