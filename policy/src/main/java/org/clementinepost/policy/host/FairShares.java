package org.clementinepost.policy.host;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;

/**
 * The use that customers have made of one backend server, separately for each priority.
 *
 * <p>It is part of the server's state, so it starts anew with the server.
 *
 * @param clocks the virtual time of each priority that has requests
 */
record FairShares(Map<Integer, VirtualClock> clocks) {
  static final FairShares INITIAL = new FairShares(LinkedHashMap.empty());

  /** More priorities than a configuration uses; the one that was added first is dropped. */
  static final int MAX_PRIORITIES = 64;

  double startNanos(int priority, Option<CustomerId> customer) {
    return clock(priority).startNanos(customer);
  }

  FairShares withAdmission(RunCharge charge) {
    Map<Integer, VirtualClock> next =
        clocks.put(charge.priority(), clock(charge.priority()).withAdmission(charge));
    return new FairShares(next.size() > MAX_PRIORITIES ? next.tail() : next);
  }

  /**
   * Charges what a run took. A priority without requests restarts its virtual time: no customer is
   * then owed anything.
   *
   * @param waiting whether requests of the same priority are waiting
   */
  FairShares withRunEnded(RunCharge charge, long runNanos, boolean waiting) {
    Option<VirtualClock> next =
        clocks.get(charge.priority()).map(clock -> clock.withRunEnded(charge, runNanos));
    if (next.isEmpty()) {
      return this;
    }
    return waiting || next.get().hasRunning()
        ? new FairShares(clocks.put(charge.priority(), next.get()))
        : new FairShares(clocks.remove(charge.priority()));
  }

  private VirtualClock clock(int priority) {
    return clocks.get(priority).getOrElse(VirtualClock.INITIAL);
  }
}
