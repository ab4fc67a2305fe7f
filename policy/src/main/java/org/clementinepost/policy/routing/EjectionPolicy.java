package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;

/**
 * Decides which backend servers are ejected.
 *
 * <p>A server is not ejected if the service would fall below its floor, the least number of slots
 * that must stay in use. Nor is it ejected if more than half of the servers in use are suspected,
 * since the fault then lies with the service and not with a single server.
 */
final class EjectionPolicy {
  private EjectionPolicy() {}

  /** Returns the reason to eject a backend server; none if the evidence does not suffice. */
  static Option<EjectionReason> ejectionReason(
      EndpointState state, Evidence pathEvidence, long nowNanos) {
    if (pathEvidence.isConclusive()) {
      return Option.some(EjectionReason.PATH);
    }
    if (state.isSilent(nowNanos)) {
      return Option.some(EjectionReason.SILENT);
    }
    if (!state.evidence().isConclusive()) {
      return Option.none();
    }
    return Option.some(
        state.evidence().isMostlyFailing() ? EjectionReason.FAILING : EjectionReason.SLOW);
  }

  /** Whether the floor and the state of the other servers permit the ejection. */
  static boolean mayEject(ServiceState service, EndpointState state) {
    int slotsLeft = ServiceState.totalSlots(service.inUse()) - state.endpoint().slots();
    return slotsLeft > 0 && slotsLeft >= service.floorSlots() && !isMajoritySuspected(service);
  }

  private static boolean isMajoritySuspected(ServiceState service) {
    int suspected = 0;
    for (Endpoint endpoint : service.inUse()) {
      if (service.server(endpoint.server()).exists(state -> state.evidence().isSuspicious())) {
        suspected++;
      }
    }
    return 2 * suspected > service.inUse().size();
  }

  /** Re-admits servers until the floor holds, those with the fewest ejections in a row first. */
  static ServiceState readmitUntilFloorHolds(ServiceState service, long nowNanos) {
    Vector<EndpointState> byConsecutiveEjections =
        service
            .ejected()
            .flatMap(endpoint -> service.server(endpoint.server()))
            .sortBy(state -> state.ejectionState().consecutiveEjections());
    ServiceState updated = service;
    for (EndpointState state : byConsecutiveEjections) {
      int slotsInUse = ServiceState.totalSlots(updated.inUse());
      if (slotsInUse > 0 && slotsInUse >= updated.floorSlots()) {
        return updated;
      }
      updated =
          updated.with(
              state,
              new EjectionState.InUse(
                  state.ejectionState().consecutiveEjections(), nowNanos, true));
    }
    return updated;
  }
}
