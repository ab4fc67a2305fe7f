package org.clementinepost.policy.stop;

import io.vavr.collection.Map;

/** What the decision on a planned stop asks for. */
public sealed interface StopEffect {
  /** Tells everybody that the node goes; callers are still served. */
  record AnnounceStop() implements StopEffect {}

  /** Takes no more requests of callers. */
  record StopAccepting() implements StopEffect {}

  /** Time is to be told after a delay. */
  record ScheduleTimer(long delayMillis) implements StopEffect {}

  /**
   * The node may go.
   *
   * @param clean whether nothing is cut
   * @param inFlight what each part that has told of itself has in hand
   */
  record CompleteStop(boolean clean, Map<StopPart, Integer> inFlight) implements StopEffect {}
}
