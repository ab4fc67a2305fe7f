package org.clementinepost.policy.stop;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * How far a planned stop is.
 *
 * @param phase the present phase
 * @param askedNanos when the stop began
 * @param inHand what each part that has told of itself has in hand
 */
public record StopState(Phase phase, long askedNanos, Map<StopPart, Integer> inHand) {
  /** The phases of a planned stop, in their order. */
  public enum Phase {
    /** Nobody has asked the node to stop. */
    SERVING,
    /** The others are told; callers that do not know yet are served. */
    LEAVING,
    /** No more requests are taken; those in hand go on to their ends. */
    FINISHING,
    /** Nothing is waited for any more. */
    GONE
  }

  /** The state of a node that nobody has asked to stop. */
  public static StopState serving() {
    return new StopState(Phase.SERVING, 0, HashMap.empty());
  }

  StopState leavingSince(long nowNanos) {
    return new StopState(Phase.LEAVING, nowNanos, inHand);
  }

  StopState in(Phase next) {
    return new StopState(next, askedNanos, inHand);
  }

  StopState told(StopPart part, int count) {
    return new StopState(phase, askedNanos, inHand.put(part, count));
  }

  /** Whether every part has told that it has nothing in hand. */
  boolean isEmpty() {
    return inHand.size() == StopPart.values().length && inHand.values().forAll(count -> count == 0);
  }
}
