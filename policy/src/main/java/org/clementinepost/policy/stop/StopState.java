package org.clementinepost.policy.stop;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * The progress of a graceful stop.
 *
 * @param phase the current phase
 * @param stopRequestedNanos when the stop was requested; zero before that
 * @param inFlight the number of requests in flight in each part that has reported one
 */
public record StopState(Phase phase, long stopRequestedNanos, Map<StopPart, Integer> inFlight) {
  /** The phases of a graceful stop, in order. */
  public enum Phase {
    /** No stop has been requested. */
    SERVING,
    /** Callers and other nodes learn of the stop; new requests are still accepted. */
    SHUTDOWN_DELAY,
    /** No new requests are accepted; those in flight continue. */
    COMPLETING_REQUESTS,
    /** The process may exit. */
    STOPPED
  }

  /** Returns the state of a node without a stop request. */
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

  /** Whether every part has reported that it has nothing in flight. */
  boolean hasNothingInFlight() {
    return inFlight.size() == StopPart.values().length
        && inFlight.values().forAll(count -> count == 0);
  }
}
