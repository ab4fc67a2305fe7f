package org.clementinepost.policy.stop;

/** What the decision on a planned stop is told. */
public sealed interface StopEvent {
  /** The node is to stop. */
  record StopRequested(long nowNanos) implements StopEvent {}

  /** A part has told how much it has in hand. */
  record InFlightReported(StopPart part, int inFlight) implements StopEvent {}

  /** A moment that was asked for has come. */
  record TimerFired(long nowNanos) implements StopEvent {}
}
