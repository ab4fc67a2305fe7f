package org.clementinepost.api.config;

import io.vavr.collection.Set;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.ServiceId;

/**
 * A route from a path prefix to a service.
 *
 * @param name the name of the route
 * @param pathPrefix the path prefix of the requests that it matches, in whole path segments
 * @param service the service that requests are sent to
 * @param openToAll whether requests need no API key
 * @param customers the customers that may use the route; empty allows every customer
 * @param rules further settings for its requests
 */
public record Route(
    String name,
    String pathPrefix,
    ServiceId service,
    boolean openToAll,
    Set<CustomerId> customers,
    RouteRules rules)
    implements ConfigurationObject {

  /** Creates a route with default rules. */
  public Route(
      String name,
      String pathPrefix,
      ServiceId service,
      boolean openToAll,
      Set<CustomerId> customers) {
    this(name, pathPrefix, service, openToAll, customers, RouteRules.DEFAULT);
  }

  /**
   * Chooses the service of a request according to the weights of the route.
   *
   * @param uniformRandom a random number, uniformly distributed from zero (inclusive) to one
   *     (exclusive)
   */
  public ServiceId chooseService(double uniformRandom) {
    return rules.chooseService(service, uniformRandom);
  }

  @Override
  public ObjectKind kind() {
    return ObjectKind.ROUTE;
  }
}
