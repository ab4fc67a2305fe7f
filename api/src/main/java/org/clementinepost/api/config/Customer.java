package org.clementinepost.api.config;

import org.clementinepost.api.CustomerId;

/**
 * A customer with the rate and burst that hold for it across the whole fleet.
 *
 * @param id the customer's name
 * @param ratePerSecond requests a second
 * @param burstRequests requests that may come at once
 * @param weight the customer's part of scarce slots, against other customers
 */
public record Customer(CustomerId id, double ratePerSecond, int burstRequests, int weight)
    implements ConfigurationObject {
  @Override
  public ObjectKind kind() {
    return ObjectKind.CUSTOMER;
  }

  @Override
  public String name() {
    return id.value();
  }
}
