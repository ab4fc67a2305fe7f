package org.clementinepost.policy.host;

import java.util.Comparator;

/**
 * A request that waits at its host for a slot.
 *
 * @param admit the request for admission
 * @param waitDeadlineNanos when it is refused, since another host is then a better choice
 */
record WaitingRequest(HostEvent.Admit admit, long waitDeadlineNanos) {
  /** The highest priority first; within the same priority, the earliest arrival first. */
  static final Comparator<WaitingRequest> BY_PRIORITY_THEN_ARRIVAL =
      Comparator.<WaitingRequest>comparingInt(w -> w.admit().head().options().priority())
          .thenComparingLong(w -> w.admit().nowNanos());
}
