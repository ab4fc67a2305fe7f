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
 * @param holds hints from refusals
 * @param reference what is typical of the service
 * @param budget what retries it may still get
 * @param floorPercent the part of the announced slots that ejection leaves in use
 */
record ServiceState(
    Map<BackendServerId, EndpointState> servers,
    Vector<Endpoint> inUse,
    Vector<Endpoint> ejected,
    Map<BackendServerId, Hold> holds,
    Reference reference,
    RetryBudget budget,
    int floorPercent) {

  static ServiceState empty(int floorPercent) {
    return new ServiceState(
        HashMap.empty(),
        Vector.empty(),
        Vector.empty(),
        HashMap.empty(),
        Reference.UNKNOWN,
        RetryBudget.FULL,
        floorPercent);
  }

  Option<EndpointState> server(BackendServerId server) {
    return servers.get(server);
  }

  /** The least slots that ejection leaves in use. */
  int floorSlots() {
    return ((slots(inUse) + slots(ejected)) * floorPercent + 99) / 100;
  }

  static int slots(Vector<Endpoint> endpoints) {
    int slots = 0;
    for (Endpoint endpoint : endpoints) {
      slots += endpoint.slots();
    }
    return slots;
  }

  ServiceState withServers(Map<BackendServerId, EndpointState> next) {
    return new ServiceState(next, inUse, ejected, holds, reference, budget, floorPercent);
  }

  ServiceState with(EndpointState next) {
    return withServers(servers.put(next.endpoint().server(), next));
  }

  /** The service with a backend server in another standing. */
  ServiceState with(EndpointState state, Standing next) {
    return with(state.with(next)).regrouped();
  }

  /** Sorts the endpoints by their standing anew. */
  ServiceState regrouped() {
    Vector<EndpointState> ordered =
        servers.values().toVector().sortBy(state -> state.endpoint().server());
    return new ServiceState(
        servers,
        ordered.filter(EndpointState::inUse).map(EndpointState::endpoint),
        ordered.reject(EndpointState::inUse).map(EndpointState::endpoint),
        holds,
        reference,
        budget,
        floorPercent);
  }

  ServiceState withHolds(Map<BackendServerId, Hold> next) {
    return new ServiceState(servers, inUse, ejected, next, reference, budget, floorPercent);
  }

  ServiceState with(Reference next) {
    return new ServiceState(servers, inUse, ejected, holds, next, budget, floorPercent);
  }

  ServiceState with(RetryBudget next) {
    return new ServiceState(servers, inUse, ejected, holds, reference, next, floorPercent);
  }

  ServiceState withFloorPercent(int next) {
    return new ServiceState(servers, inUse, ejected, holds, reference, budget, next);
  }
}
