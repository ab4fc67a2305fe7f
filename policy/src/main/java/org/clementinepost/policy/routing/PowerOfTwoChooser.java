package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;

/**
 * Chooses the less loaded of two endpoints drawn at random (power of two choices).
 *
 * <p>This balances load nearly as well as comparing all endpoints, and keeps the ingress nodes from
 * all choosing the same idle backend server at once. A suspected server counts as more loaded. A
 * server that was re-admitted recently is skipped at random, so that its load ramps up.
 */
final class PowerOfTwoChooser implements EndpointChooser {
  private static final int SUSPECT_PENALTY_REQUESTS = 4;
  private static final int RAMP_RANDOM_BITS = 20;

  @Override
  public Endpoint choose(
      ServiceState service, Vector<Endpoint> candidates, long random, long nowNanos) {
    int size = candidates.size();
    if (size == 1) {
      return candidates.head();
    }
    int firstIndex = Math.floorMod((int) random, size);
    int step = 1 + Math.floorMod((int) (random >>> Integer.SIZE), size - 1);
    EndpointState first = state(service, candidates.get(firstIndex));
    EndpointState second = state(service, candidates.get((firstIndex + step) % size));
    double draw = (double) (random >>> (Long.SIZE - RAMP_RANDOM_BITS)) / (1L << RAMP_RANDOM_BITS);
    if (isSkippedByRamp(first, draw, nowNanos)) {
      return second.endpoint();
    }
    if (isSkippedByRamp(second, draw, nowNanos)) {
      return first.endpoint();
    }
    return lessLoaded(first, second).endpoint();
  }

  private static EndpointState state(ServiceState service, Endpoint endpoint) {
    return service.server(endpoint.server()).getOrElse(() -> EndpointState.of(endpoint));
  }

  /** Whether a server that was re-admitted recently is passed over, at a draw between 0 and 1. */
  static boolean isSkippedByRamp(EndpointState state, double draw, long nowNanos) {
    return state.ejectionState() instanceof EjectionState.InUse inUse
        && inUse.ramping()
        && draw > inUse.weight(nowNanos);
  }

  private static EndpointState lessLoaded(EndpointState first, EndpointState second) {
    long firstLoad = load(first) * second.endpoint().slots();
    long secondLoad = load(second) * first.endpoint().slots();
    if (firstLoad != secondLoad) {
      return firstLoad < secondLoad ? first : second;
    }
    return first;
  }

  /** Returns the load in requests, with a penalty for a suspected server. */
  private static long load(EndpointState state) {
    int penalty = state.evidence().isSuspicious() ? SUSPECT_PENALTY_REQUESTS : 0;
    return state.outstanding().count() + penalty;
  }
}
