package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Service;

/**
 * What an ingress node knows of the backend servers that it may choose.
 *
 * @param services the services in use
 * @param paths the evidence against the path to each host; hosts without any are left out
 * @param hosted the evidence that this node has as the host of its own backend servers
 * @param configured the services as configured
 */
public record RoutingState(
    Map<ServiceId, ServiceState> services,
    Map<NodeId, Evidence> paths,
    Map<BackendServerId, HostedEvidence> hosted,
    Map<ServiceId, Service> configured) {
  private static final int DEFAULT_FLOOR_PERCENT = 50;

  /** The state of a node that has just started. */
  public static RoutingState empty() {
    return new RoutingState(HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty());
  }

  ServiceState service(ServiceId service) {
    return services.getOrElse(service, ServiceState.empty(floorPercent(service)));
  }

  int floorPercent(ServiceId service) {
    return configured.get(service).map(Service::floorPercent).getOrElse(DEFAULT_FLOOR_PERCENT);
  }

  Evidence path(NodeId host) {
    return paths.getOrElse(host, Evidence.NONE);
  }

  RoutingState with(ServiceId service, ServiceState next) {
    return withServices(services.put(service, next));
  }

  RoutingState withServices(Map<ServiceId, ServiceState> next) {
    return new RoutingState(next, paths, hosted, configured);
  }

  RoutingState with(NodeId host, Evidence next) {
    boolean forget = next.isNone();
    if (forget && !paths.containsKey(host)) {
      return this;
    }
    return new RoutingState(
        services, forget ? paths.remove(host) : paths.put(host, next), hosted, configured);
  }

  RoutingState withHosted(Map<BackendServerId, HostedEvidence> next) {
    return new RoutingState(services, paths, next, configured);
  }

  RoutingState withConfigured(Map<ServiceId, Service> next) {
    return new RoutingState(services, paths, hosted, next);
  }
}
