package org.clementinepost.policy.stop;

/** An event that {@link StopPolicy} decides on. */
public sealed interface StopEvent {
  /** The node was asked to stop. */
  record StopRequested(long nowNanos) implements StopEvent {}

  /** A part has reported its number of requests in flight. */
  record InFlightReported(StopPart part, int inFlight) implements StopEvent {}

  /** A timer that {@link StopEffect.ScheduleTimer} asked for has fired. */
  record TimerFired(long nowNanos) implements StopEvent {}
}
