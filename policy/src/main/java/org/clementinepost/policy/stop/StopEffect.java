package org.clementinepost.policy.stop;

import io.vavr.collection.Map;

/** An action that {@link StopPolicy} asks the stop service to carry out. */
public sealed interface StopEffect {
  /** Announces the stop to callers and other nodes; new requests are still accepted. */
  record AnnounceStop() implements StopEffect {}

  /** Stops accepting requests from callers. */
  record StopAccepting() implements StopEffect {}

  /** Schedules a {@link StopEvent.TimerFired}. */
  record ScheduleTimer(long delayMillis) implements StopEffect {}

  /**
   * Completes the stop; the process may exit.
   *
   * @param clean whether no request is aborted
   * @param inFlight the number of requests in flight in each part that has reported one
   */
  record CompleteStop(boolean clean, Map<StopPart, Integer> inFlight) implements StopEffect {}
}
