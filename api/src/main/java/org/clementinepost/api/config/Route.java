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
 */
public record Route(
    String name, String pathPrefix, ServiceId service, boolean openToAll, Set<CustomerId> customers)
    implements ConfigurationObject {
  @Override
  public ObjectKind kind() {
    return ObjectKind.ROUTE;
  }
}
