package org.clementinepost.policy.stop;

import io.vavr.collection.Map;

/** What the decision on a planned stop asks for. */
public sealed interface StopEffect {
  /** Tells everybody that the node goes; callers are still served. */
  record TakeLeave() implements StopEffect {}

  /** Takes no more requests of callers. */
  record Finish() implements StopEffect {}

  /** Time is to be told after a delay. */
  record Wake(long delayMillis) implements StopEffect {}

  /**
   * The node may go.
   *
   * @param whole whether nothing is cut
   * @param inHand what each part that has told of itself has in hand
   */
  record Go(boolean whole, Map<StopPart, Integer> inHand) implements StopEffect {}
}
