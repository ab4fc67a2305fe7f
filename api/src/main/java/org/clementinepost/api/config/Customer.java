package org.clementinepost.api.config;

import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;

/**
 * A customer with its rate limit, which applies to the fleet as a whole.
 *
 * @param id the name of the customer
 * @param ratePerSecond the permitted rate in requests per second; zero or less means no limit
 * @param burstRequests the number of requests that may arrive at once
 * @param weight the customer's share of scarce slots, relative to the weights of other customers
 * @param priority the priority of its requests, which overrides that of the route; none uses the
 *     route's
 */
public record Customer(
    CustomerId id, double ratePerSecond, int burstRequests, int weight, Option<Integer> priority)
    implements ConfigurationObject {

  /** Creates a customer whose requests have their routes' priority. */
  public Customer(CustomerId id, double ratePerSecond, int burstRequests, int weight) {
    this(id, ratePerSecond, burstRequests, weight, Option.none());
  }

  /** Returns whether the customer's rate is limited. */
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
