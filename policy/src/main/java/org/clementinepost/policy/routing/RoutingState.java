package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.ServiceId;

/**
 * What an ingress node knows of the backend servers that it may choose.
 *
 * @param endpoints the endpoints of each service in use
 * @param outstanding the requests of this node that each backend server has not answered yet
 */
public record RoutingState(
    Map<ServiceId, Vector<Endpoint>> endpoints, Map<BackendServerId, Integer> outstanding) {

  /** The state of a node that has just started. */
  public static RoutingState empty() {
    return new RoutingState(HashMap.empty(), HashMap.empty());
  }

  int outstandingOf(Endpoint endpoint) {
    return outstanding.getOrElse(endpoint.server(), 0);
  }
}
