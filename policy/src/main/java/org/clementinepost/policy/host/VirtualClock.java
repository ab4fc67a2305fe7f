package org.clementinepost.policy.host;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;

/**
 * The virtual time of start-time fair queueing among the customers of one priority.
 *
 * <p>Virtual time is run time divided by weight. A request starts at the finish time of its
 * customer's previous request, but not before the current virtual time, so that a customer earns
 * nothing while it is idle.
 *
 * @param virtualNanos the start time of the last admitted request
 * @param shares the customers that are ahead of the virtual time or have a request in flight
 */
record VirtualClock(double virtualNanos, Map<Option<CustomerId>, Share> shares) {
  static final VirtualClock INITIAL = new VirtualClock(0, HashMap.empty());

  /**
   * Beyond this number, the customer that is least ahead and has no request in flight is dropped
   * and starts anew.
   */
  static final int MAX_CUSTOMERS = 256;

  /**
   * The use that one customer has made of the server.
   *
   * @param finishNanos the virtual time at which its last request finishes
   * @param running the number of its requests in flight
   */
  record Share(double finishNanos, int running) {
    private static final Share NONE = new Share(0, 0);
  }

  /** Returns the virtual time at which the next request of a customer starts. */
  double startNanos(Option<CustomerId> customer) {
    return shares
        .get(customer)
        .map(share -> Math.max(virtualNanos, share.finishNanos()))
        .getOrElse(virtualNanos);
  }

  boolean hasRunning() {
    return shares.values().exists(share -> share.running() > 0);
  }

  VirtualClock withAdmission(RunCharge charge) {
    double start = startNanos(charge.customer());
    Share before = shares.get(charge.customer()).getOrElse(Share.NONE);
    Share after = new Share(start + charge.estimatedCost(), before.running() + 1);
    double now = Math.max(virtualNanos, start);
    return new VirtualClock(now, bounded(withoutIdle(shares.put(charge.customer(), after), now)));
  }

  /** Charges what the run took; ignores a run that was admitted before a restart of the server. */
  VirtualClock withRunEnded(RunCharge charge, long runNanos) {
    Option<Share> share = shares.get(charge.customer());
    if (share.isEmpty()) {
      return this;
    }
    Share after =
        new Share(
            share.get().finishNanos() + charge.correction(runNanos),
            Math.max(0, share.get().running() - 1));
    return new VirtualClock(virtualNanos, shares.put(charge.customer(), after));
  }

  private static Map<Option<CustomerId>, Share> withoutIdle(
      Map<Option<CustomerId>, Share> shares, double now) {
    return shares.filterValues(share -> share.running() > 0 || share.finishNanos() > now);
  }

  private static Map<Option<CustomerId>, Share> bounded(Map<Option<CustomerId>, Share> shares) {
    if (shares.size() <= MAX_CUSTOMERS) {
      return shares;
    }
    return shares
        .filterValues(share -> share.running() == 0)
        .minBy(entry -> entry._2.finishNanos())
        .map(entry -> shares.remove(entry._1))
        .getOrElse(shares);
  }
}
