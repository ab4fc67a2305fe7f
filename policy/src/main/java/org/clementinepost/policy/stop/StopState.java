package org.clementinepost.policy.stop;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * How far a planned stop is.
 *
 * @param phase the present phase
 * @param stopRequestedNanos when the stop began
 * @param inFlight what each part that has told of itself has in hand
 */
public record StopState(Phase phase, long stopRequestedNanos, Map<StopPart, Integer> inFlight) {
  /** The phases of a planned stop, in their order. */
  public enum Phase {
    /** Nobody has asked the node to stop. */
    SERVING,
    /** The others are told; callers that do not know yet are served. */
    SHUTDOWN_DELAY,
    /** No more requests are taken; those in hand go on to their ends. */
    COMPLETING_REQUESTS,
    /** Nothing is waited for any more. */
    STOPPED
  }

  /** The state of a node that nobody has asked to stop. */
  public static StopState serving() {
    return new StopState(Phase.SERVING, 0, HashMap.empty());
  }

  StopState withStopRequested(long nowNanos) {
    return new StopState(Phase.SHUTDOWN_DELAY, nowNanos, inFlight);
  }

  StopState withPhase(Phase next) {
    return new StopState(next, stopRequestedNanos, inFlight);
  }

  StopState withInFlight(StopPart part, int count) {
    return new StopState(phase, stopRequestedNanos, inFlight.put(part, count));
  }

  /** Whether every part has told that it has nothing in hand. */
  boolean hasNothingInFlight() {
    return inFlight.size() == StopPart.values().length
        && inFlight.values().forAll(count -> count == 0);
  }
}
