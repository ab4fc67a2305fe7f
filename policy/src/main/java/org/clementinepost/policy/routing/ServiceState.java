package org.clementinepost.policy.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;

/**
 * What an ingress node knows of one service.
 *
 * <p>The endpoints in use stand ready as a vector, so that a choice costs the same whatever else is
 * known.
 *
 * @param servers every announced backend server
 * @param inUse those that are not ejected
 * @param ejected those that are
 * @param avoidances hints from refusals
 * @param baseline what is typical of the service
 * @param retryBudget what retries it may still get
 * @param floorPercent the part of the announced slots that ejection leaves in use
 */
record ServiceState(
    Map<BackendServerId, EndpointState> servers,
    Vector<Endpoint> inUse,
    Vector<Endpoint> ejected,
    Map<BackendServerId, Avoidance> avoidances,
    ServiceBaseline baseline,
    RetryBudget retryBudget,
    int floorPercent) {

  static ServiceState empty(int floorPercent) {
    return new ServiceState(
        HashMap.empty(),
        Vector.empty(),
        Vector.empty(),
        HashMap.empty(),
        ServiceBaseline.EMPTY,
        RetryBudget.FULL,
        floorPercent);
  }

  Option<EndpointState> server(BackendServerId server) {
    return servers.get(server);
  }

  /** The least slots that ejection leaves in use. */
  int floorSlots() {
    return ((totalSlots(inUse) + totalSlots(ejected)) * floorPercent + 99) / 100;
  }

  static int totalSlots(Vector<Endpoint> endpoints) {
    int slots = 0;
    for (Endpoint endpoint : endpoints) {
      slots += endpoint.slots();
    }
    return slots;
  }

  ServiceState withServers(Map<BackendServerId, EndpointState> next) {
    return new ServiceState(next, inUse, ejected, avoidances, baseline, retryBudget, floorPercent);
  }

  ServiceState with(EndpointState next) {
    return withServers(servers.put(next.endpoint().server(), next));
  }

  /** The service with a backend server in another standing. */
  ServiceState with(EndpointState state, EjectionState next) {
    return with(state.with(next)).withEndpointsRegrouped();
  }

  /** Sorts the endpoints by their standing anew. */
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
        floorPercent);
  }

  ServiceState withAvoidances(Map<BackendServerId, Avoidance> next) {
    return new ServiceState(servers, inUse, ejected, next, baseline, retryBudget, floorPercent);
  }

  ServiceState with(ServiceBaseline next) {
    return new ServiceState(servers, inUse, ejected, avoidances, next, retryBudget, floorPercent);
  }

  ServiceState with(RetryBudget next) {
    return new ServiceState(servers, inUse, ejected, avoidances, baseline, next, floorPercent);
  }

  ServiceState withFloorPercent(int next) {
    return new ServiceState(servers, inUse, ejected, avoidances, baseline, retryBudget, next);
  }
}
