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
  static Option<EjectionReason> verdict(EndpointState state, Evidence path, long nowNanos) {
    if (path.convicts(nowNanos)) {
      return Option.some(EjectionReason.PATH);
    }
    Evidence own = state.evidence();
    if (!own.convicts(nowNanos)) {
      return Option.none();
    }
    return Option.some(
        own.failureScore() >= own.slowScore() ? EjectionReason.FAILING : EjectionReason.SLOW);
  }

  static boolean mayEject(ServiceState service, EndpointState state) {
    int slotsLeft = ServiceState.slots(service.inUse()) - state.endpoint().slots();
    return slotsLeft > 0 && slotsLeft >= service.floorSlots() && !serviceWide(service);
  }

  private static boolean serviceWide(ServiceState service) {
    int suspects = 0;
    for (Endpoint endpoint : service.inUse()) {
      if (service.server(endpoint.server()).exists(state -> state.evidence().suspects())) {
        suspects++;
      }
    }
    return 2 * suspects > service.inUse().size();
  }

  /** Re-admits backend servers, those ejected least first, until the floor holds. */
  static ServiceState keepFloor(ServiceState service, long nowNanos) {
    Vector<EndpointState> byStrikes =
        service
            .ejected()
            .flatMap(endpoint -> service.server(endpoint.server()))
            .sortBy(state -> state.standing().strikes());
    ServiceState kept = service;
    for (EndpointState state : byStrikes) {
      int slotsInUse = ServiceState.slots(kept.inUse());
      if (slotsInUse > 0 && slotsInUse >= kept.floorSlots()) {
        return kept;
      }
      kept = kept.with(state, new Standing.InUse(state.standing().strikes(), nowNanos, true));
    }
    return kept;
  }
}
