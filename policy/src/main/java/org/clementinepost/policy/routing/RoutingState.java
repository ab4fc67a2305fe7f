package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Service;

/**
 * The state of the routing decision of one node.
 *
 * @param services the services whose endpoints are known
 * @param pathEvidence the evidence of a faulty path to each host; hosts without any are left out
 * @param hostedServers the evidence against the backend servers that this node hosts
 * @param configuredServices the configuration of each service
 * @param retryLimits the limits on the retries of this node
 * @param load the state of placements by load queries
 * @param newLatency the latency model of a service that becomes known
 */
public record RoutingState(
    Map<ServiceId, ServiceState> services,
    Map<NodeId, Evidence> pathEvidence,
    Map<BackendServerId, HostedServerEvidence> hostedServers,
    Map<ServiceId, Service> configuredServices,
    RetryLimits retryLimits,
    LoadQueryState load,
    LatencyModel newLatency) {
  private static final int DEFAULT_FLOOR_PERCENT = 50;

  /** Returns the state of a node that has just started. */
  public static RoutingState empty() {
    return empty(PooledLatency.EMPTY);
  }

  /** Returns the state of a node that has just started and judges slowness by kind of request. */
  public static RoutingState emptyByKind() {
    return empty(LatencyByKind.EMPTY);
  }

  private static RoutingState empty(LatencyModel newLatency) {
    return new RoutingState(
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        RetryLimits.UNKNOWN_FLEET,
        LoadQueryState.EMPTY,
        newLatency);
  }

  ServiceState service(ServiceId service) {
    return services.getOrElse(
        service, ServiceState.empty(floorPercent(service), retryLimits, newLatency));
  }

  int floorPercent(ServiceId service) {
    return configuredServices
        .get(service)
        .map(Service::floorPercent)
        .getOrElse(DEFAULT_FLOOR_PERCENT);
  }

  Evidence pathEvidenceOf(NodeId host) {
    return pathEvidence.getOrElse(host, Evidence.NONE);
  }

  RoutingState with(ServiceId service, ServiceState next) {
    return withServices(services.put(service, next));
  }

  RoutingState withServices(Map<ServiceId, ServiceState> next) {
    return new RoutingState(
        next, pathEvidence, hostedServers, configuredServices, retryLimits, load, newLatency);
  }

  RoutingState with(NodeId host, Evidence next) {
    boolean removed = next.isNone();
    if (removed && !pathEvidence.containsKey(host)) {
      return this;
    }
    return new RoutingState(
        services,
        removed ? pathEvidence.remove(host) : pathEvidence.put(host, next),
        hostedServers,
        configuredServices,
        retryLimits,
        load,
        newLatency);
  }

  RoutingState withHostedServers(Map<BackendServerId, HostedServerEvidence> next) {
    return new RoutingState(
        services, pathEvidence, next, configuredServices, retryLimits, load, newLatency);
  }

  RoutingState withConfiguredServices(Map<ServiceId, Service> next) {
    return new RoutingState(
        services, pathEvidence, hostedServers, next, retryLimits, load, newLatency);
  }

  RoutingState withRetryLimits(RetryLimits next) {
    return new RoutingState(
        services, pathEvidence, hostedServers, configuredServices, next, load, newLatency);
  }

  RoutingState with(LoadQueryState next) {
    return new RoutingState(
        services, pathEvidence, hostedServers, configuredServices, retryLimits, next, newLatency);
  }
}
