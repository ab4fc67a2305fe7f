package org.clementinepost.api.config;

import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;

/**
 * A customer with the rate and burst that hold for it across the whole fleet.
 *
 * @param id the customer's name
 * @param ratePerSecond requests a second
 * @param burstRequests requests that may come at once
 * @param weight the customer's part of scarce slots, against other customers
 * @param priority the rank of its requests, before that of the route; none leaves it to the route
 */
public record Customer(
    CustomerId id, double ratePerSecond, int burstRequests, int weight, Option<Integer> priority)
    implements ConfigurationObject {

  /** A customer whose requests rank as their routes say. */
  public Customer(CustomerId id, double ratePerSecond, int burstRequests, int weight) {
    this(id, ratePerSecond, burstRequests, weight, Option.none());
  }

  /** Whether the customer's rate is limited at all. */
  public boolean isRateLimited() {
    return ratePerSecond > 0;
  }

  @Override
  public ObjectKind kind() {
    return ObjectKind.CUSTOMER;
  }

  @Override
  public String name() {
    return id.value();
  }
}
