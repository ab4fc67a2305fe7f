package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;

/**
 * Decides which backend servers are ejected.
 *
 * <p>Two things stand against an ejection: the floor, and that more than half of the service is
 * under suspicion as well, since then it is no single server that is sick.
 */
final class EjectionPolicy {
  private EjectionPolicy() {}

  /** What the evidence convicts a backend server of. */
  static Option<EjectionReason> ejectionReason(EndpointState state, Evidence path, long nowNanos) {
    if (path.isConclusive()) {
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

  static boolean mayEject(ServiceState service, EndpointState state) {
    int slotsLeft = ServiceState.totalSlots(service.inUse()) - state.endpoint().slots();
    return slotsLeft > 0 && slotsLeft >= service.floorSlots() && !isMajoritySuspected(service);
  }

  private static boolean isMajoritySuspected(ServiceState service) {
    int suspects = 0;
    for (Endpoint endpoint : service.inUse()) {
      if (service.server(endpoint.server()).exists(state -> state.evidence().isSuspicious())) {
        suspects++;
      }
    }
    return 2 * suspects > service.inUse().size();
  }

  /** Re-admits backend servers, those ejected least first, until the floor holds. */
  static ServiceState readmitUntilFloorHolds(ServiceState service, long nowNanos) {
    Vector<EndpointState> byStrikes =
        service
            .ejected()
            .flatMap(endpoint -> service.server(endpoint.server()))
            .sortBy(state -> state.ejectionState().consecutiveEjections());
    ServiceState kept = service;
    for (EndpointState state : byStrikes) {
      int slotsInUse = ServiceState.totalSlots(kept.inUse());
      if (slotsInUse > 0 && slotsInUse >= kept.floorSlots()) {
        return kept;
      }
      kept =
          kept.with(
              state,
              new EjectionState.InUse(
                  state.ejectionState().consecutiveEjections(), nowNanos, true));
    }
    return kept;
  }
}
