package org.clementinepost.policy.host;

import java.util.Comparator;

/**
 * A request that waits at its host for a slot.
 *
 * @param admit what was asked
 * @param waitDeadlineNanos when it is refused, since waiting longer is worth less than another host
 */
record WaitingRequest(HostEvent.Admit admit, long waitDeadlineNanos) {
  /** The most urgent first, and the earliest among those. */
  static final Comparator<WaitingRequest> BY_PRIORITY_THEN_ARRIVAL =
      Comparator.<WaitingRequest>comparingInt(w -> w.admit().head().handling().priority())
          .thenComparingLong(w -> w.admit().nowNanos());
}
