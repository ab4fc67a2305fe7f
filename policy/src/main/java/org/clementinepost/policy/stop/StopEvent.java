package org.clementinepost.policy.stop;

/** What the decision on a planned stop is told. */
public sealed interface StopEvent {
  /** The node is to stop. */
  record Asked(long nowNanos) implements StopEvent {}

  /** A part has told how much it has in hand. */
  record Told(StopPart part, int inHand) implements StopEvent {}

  /** A moment that was asked for has come. */
  record Due(long nowNanos) implements StopEvent {}
}
