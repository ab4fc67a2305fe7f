package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;

/**
 * What an admitted request was charged to its customer.
 *
 * @param priority the priority within which customers share the server
 * @param customer the customer; none if the route is open to all
 * @param weight the weight of the customer, at least one
 * @param estimateNanos the run time that was charged at the admission
 */
public record RunCharge(int priority, Option<CustomerId> customer, int weight, long estimateNanos) {
  double estimatedCost() {
    return (double) estimateNanos / weight;
  }

  /** Returns what the run cost beyond the estimate; negative if it was shorter. */
  double correction(long runNanos) {
    return (double) (runNanos - estimateNanos) / weight;
  }
}
