package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;

/**
 * Chooses the less loaded of two endpoints drawn at random.
 *
 * <p>Two draws spread load nearly as well as a look at all endpoints, and do not send every ingress
 * node to the same idle backend server at once. Those in the node's own failure domain go first as
 * long as one of them may have a free slot. A suspected one counts as more loaded, and one that was
 * re-admitted of late gives way by chance.
 *
 * @param ownDomain the failure domain of this node
 */
record PowerOfTwoChooser(Option<FailureDomainId> ownDomain) implements EndpointChooser {
  private static final int SUSPECT_PENALTY_REQUESTS = 4;
  private static final int RAMP_RANDOM_BITS = 20;

  @Override
  public Endpoint choose(ServiceState service, Vector<Endpoint> all, long random, long nowNanos) {
    Vector<Endpoint> near = all.filter(endpoint -> ownDomain.contains(endpoint.domain()));
    Vector<Endpoint> candidates = near.isEmpty() ? all : near;
    int size = candidates.size();
    if (size == 1) {
      return candidates.head();
    }
    int firstIndex = Math.floorMod((int) random, size);
    int step = 1 + Math.floorMod((int) (random >>> Integer.SIZE), size - 1);
    EndpointState first = state(service, candidates.get(firstIndex));
    EndpointState second = state(service, candidates.get((firstIndex + step) % size));
    double chance = (double) (random >>> (Long.SIZE - RAMP_RANDOM_BITS)) / (1L << RAMP_RANDOM_BITS);
    if (isSkippedByRamp(first, chance, nowNanos)) {
      return second.endpoint();
    }
    if (isSkippedByRamp(second, chance, nowNanos)) {
      return first.endpoint();
    }
    return lessLoaded(first, second).endpoint();
  }

  private static EndpointState state(ServiceState service, Endpoint endpoint) {
    return service.server(endpoint.server()).getOrElse(() -> EndpointState.of(endpoint));
  }

  private static boolean isSkippedByRamp(EndpointState state, double chance, long nowNanos) {
    return state.ejectionState() instanceof EjectionState.InUse inUse
        && inUse.ramping()
        && chance > inUse.weight(nowNanos);
  }

  private static EndpointState lessLoaded(EndpointState first, EndpointState second) {
    long firstLoad = load(first) * second.endpoint().slots();
    long secondLoad = load(second) * first.endpoint().slots();
    if (firstLoad != secondLoad) {
      return firstLoad < secondLoad ? first : second;
    }
    return first;
  }

  private static long load(EndpointState state) {
    int suspicion = state.evidence().isSuspicious() ? SUSPECT_PENALTY_REQUESTS : 0;
    return state.outstanding().count() + suspicion;
  }
}
