package org.clementinepost.policy.host;

import java.util.Comparator;
import org.clementinepost.api.RequestHead;

/**
 * A request that waits at its host for a slot.
 *
 * @param admit the request for admission
 * @param waitDeadlineNanos when it is refused, since another host is then a better choice
 */
record WaitingRequest(HostEvent.Admit admit, long waitDeadlineNanos) {
  /**
   * Calls of backend servers first, since refusing one wastes the work of the request that made it;
   * then the highest priority, then the earliest arrival.
   */
  static final Comparator<WaitingRequest> BY_URGENCY =
      Comparator.<WaitingRequest, Boolean>comparing(w -> !w.isCallOfServer())
          .thenComparingInt(w -> w.admit().head().options().priority())
          .thenComparingLong(w -> w.admit().nowNanos());

  RequestKind kind() {
    return RequestKind.of(admit.head());
  }

  boolean isCallOfServer() {
    return isCallOfServer(admit.head());
  }

  /** A backend server calls other services without a key. */
  static boolean isCallOfServer(RequestHead head) {
    return head.customer().isEmpty() && head.options().callingService().isDefined();
  }
}
