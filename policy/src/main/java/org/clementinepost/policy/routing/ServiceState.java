package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;

/**
 * The state that an ingress node keeps for one service.
 *
 * <p>The endpoints in use are kept as a vector of their own, so that choosing one does not have to
 * filter all servers.
 *
 * @param servers every announced backend server
 * @param inUse the endpoints that are not ejected, ordered by server
 * @param ejected the endpoints that are ejected, ordered by server
 * @param avoidances the servers that are avoided after refusals or connection failures
 * @param baseline the typical latencies and failure rates of the service
 * @param retryBudget the retries that the service may still get from this node
 * @param idleServers the servers whose hosts told that they are idle, and until when that counts
 * @param floorPercent the percentage of the announced slots that ejections must leave in use
 */
record ServiceState(
    Map<BackendServerId, EndpointState> servers,
    Vector<Endpoint> inUse,
    Vector<Endpoint> ejected,
    Map<BackendServerId, Avoidance> avoidances,
    ServiceBaseline baseline,
    RetryBudget retryBudget,
    Map<BackendServerId, Long> idleServers,
    int floorPercent) {

  static ServiceState empty(int floorPercent, RetryLimits retryLimits, LatencyModel latency) {
    return new ServiceState(
        HashMap.empty(),
        Vector.empty(),
        Vector.empty(),
        HashMap.empty(),
        ServiceBaseline.empty(latency),
        RetryBudget.initial(retryLimits),
        HashMap.empty(),
        floorPercent);
  }

  Option<EndpointState> server(BackendServerId server) {
    return servers.get(server);
  }

  /** Returns the least number of slots that ejections must leave in use. */
  int floorSlots() {
    return floorSlots(totalSlots(inUse) + totalSlots(ejected), floorPercent);
  }

  /** Returns the least number of slots that is a percentage of all slots. */
  static int floorSlots(int slots, int percent) {
    return (slots * percent + 99) / 100;
  }

  static int totalSlots(Vector<Endpoint> endpoints) {
    int slots = 0;
    for (Endpoint endpoint : endpoints) {
      slots += endpoint.slots();
    }
    return slots;
  }

  ServiceState withServers(Map<BackendServerId, EndpointState> next) {
    return new ServiceState(
        next, inUse, ejected, avoidances, baseline, retryBudget, idleServers, floorPercent);
  }

  ServiceState with(EndpointState next) {
    return withServers(servers.put(next.endpoint().server(), next));
  }

  /** Returns a copy with a backend server in another ejection state. */
  ServiceState with(EndpointState state, EjectionState next) {
    return with(state.with(next)).withEndpointsRegrouped();
  }

  /** Returns a copy with the endpoints grouped again into those in use and those ejected. */
  ServiceState withEndpointsRegrouped() {
    Vector<EndpointState> ordered =
        servers.values().toVector().sortBy(state -> state.endpoint().server());
    return new ServiceState(
        servers,
        ordered.filter(EndpointState::isInUse).map(EndpointState::endpoint),
        ordered.reject(EndpointState::isInUse).map(EndpointState::endpoint),
        avoidances,
        baseline,
        retryBudget,
        idleServers,
        floorPercent);
  }

  ServiceState withAvoidances(Map<BackendServerId, Avoidance> next) {
    return new ServiceState(
        servers, inUse, ejected, next, baseline, retryBudget, idleServers, floorPercent);
  }

  ServiceState with(ServiceBaseline next) {
    return new ServiceState(
        servers, inUse, ejected, avoidances, next, retryBudget, idleServers, floorPercent);
  }

  ServiceState with(RetryBudget next) {
    return new ServiceState(
        servers, inUse, ejected, avoidances, baseline, next, idleServers, floorPercent);
  }

  ServiceState withFloorPercent(int next) {
    return new ServiceState(
        servers, inUse, ejected, avoidances, baseline, retryBudget, idleServers, next);
  }

  ServiceState withIdleServers(Map<BackendServerId, Long> next) {
    return new ServiceState(
        servers, inUse, ejected, avoidances, baseline, retryBudget, next, floorPercent);
  }
}
