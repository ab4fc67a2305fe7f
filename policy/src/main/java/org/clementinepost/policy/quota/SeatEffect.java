package org.clementinepost.policy.quota;

/** What the decision about the seat asks for. */
public sealed interface SeatEffect {
  /** Reads the seat's row. */
  record Read() implements SeatEffect {}

  /** Writes the seat's row, if it still has a version. */
  record Write(Seat seat, long expectedVersion) implements SeatEffect {}

  /**
   * This node has become the keeper.
   *
   * @param first whether nobody was before; all buckets are full then, and empty else
   */
  record Seated(boolean first) implements SeatEffect {}

  /** This node is the keeper no more. */
  record Unseated() implements SeatEffect {}
}
