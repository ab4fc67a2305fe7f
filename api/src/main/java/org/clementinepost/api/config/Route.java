package org.clementinepost.api.config;

import io.vavr.collection.Set;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.ServiceId;

/**
 * A route from a path prefix to a service.
 *
 * @param name the route's name
 * @param pathPrefix the prefix that a request's path has, on segment borders
 * @param service the service that answers
 * @param openToAll whether requests need no key
 * @param customers the customers let in; none named means every customer
 * @param rules what it says of its requests beyond where they go
 */
public record Route(
    String name,
    String pathPrefix,
    ServiceId service,
    boolean openToAll,
    Set<CustomerId> customers,
    RouteRules rules)
    implements ConfigurationObject {

  /** A route that says no more than where its requests go. */
  public Route(
      String name,
      String pathPrefix,
      ServiceId service,
      boolean openToAll,
      Set<CustomerId> customers) {
    this(name, pathPrefix, service, openToAll, customers, RouteRules.DEFAULT);
  }

  /**
   * Chooses the service of one request.
   *
   * @param draw a number drawn evenly from zero up to one
   */
  public ServiceId chooseService(double draw) {
    return rules.chooseService(service, draw);
  }

  @Override
  public ObjectKind kind() {
    return ObjectKind.ROUTE;
  }
}
