package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Step;

/** Places one attempt: a trial request if one is due, a choice among the endpoints in use else. */
final class PlacementPolicy {
  private final EndpointChooser chooser;

  PlacementPolicy(EndpointChooser chooser) {
    this.chooser = chooser;
  }

  Step<RoutingState, RoutingEffect> place(RoutingState state, RoutingEvent.Place place) {
    ServiceState service = state.service(place.head().service());
    boolean retry = place.head().attempt() > 1;
    if (retry && !service.retryBudget().allowsRetry()) {
      return refuse(state, place, ResultCode.RETRY_BUDGET_SPENT);
    }
    Option<EndpointState> trial = serverDueForTrial(service, place);
    if (trial.isDefined()) {
      return placeOn(state, service, trial.get(), "trial", place);
    }
    Vector<Endpoint> candidates = candidates(service, place);
    if (candidates.isEmpty()) {
      return refuse(
          state, place, retry ? ResultCode.RETRIES_EXHAUSTED : ResultCode.NO_BACKEND_SERVER);
    }
    Endpoint chosen = chooser.choose(service, candidates, place.random(), place.nowNanos());
    EndpointState server = service.server(chosen.server()).get();
    return placeOn(state, service, server, "less-loaded-of-two", place);
  }

  private static Step<RoutingState, RoutingEffect> refuse(
      RoutingState state, RoutingEvent.Place place, ResultCode code) {
    Failure failure = Failure.of(code, place.head().service().value());
    return Step.to(
        state,
        new RoutingEffect.Placed(place.head(), Either.left(failure), "refused", place.reply()));
  }

  private static Step<RoutingState, RoutingEffect> placeOn(
      RoutingState state,
      ServiceState service,
      EndpointState chosen,
      String reason,
      RoutingEvent.Place place) {
    RequestHead head = place.head();
    boolean retry = head.attempt() > 1;
    ServiceState next =
        service
            .with(chosen.with(chosen.outstanding().withRequestPlaced(place.nowNanos())))
            .with(retry ? service.retryBudget().withRetry() : service.retryBudget().withRequest());
    Placement placement = new Placement(chosen.endpoint());
    return Step.to(
        state.with(head.service(), next),
        new RoutingEffect.Placed(head, Either.right(placement), reason, place.reply()));
  }

  /** The next ejected server to be tried, for a request that may run again elsewhere. */
  private static Option<EndpointState> serverDueForTrial(
      ServiceState service, RoutingEvent.Place place) {
    RequestHead head = place.head();
    boolean suited =
        head.attempt() == 1 && head.idempotent() && head.bodyBytes() == RequestHead.NO_BODY;
    if (!suited || service.ejected().isEmpty() || !service.retryBudget().allowsRetry()) {
      return Option.none();
    }
    for (Endpoint endpoint : service.ejected()) {
      EndpointState server = service.server(endpoint.server()).get();
      if (isTrialDue(server, place.nowNanos()) && !isAvoided(service, endpoint, place.nowNanos())) {
        return Option.some(server);
      }
    }
    return Option.none();
  }

  private static boolean isTrialDue(EndpointState server, long nowNanos) {
    return server.outstanding().onTimePlacedNanos().isEmpty()
        && server.ejectionState() instanceof EjectionState.Ejected ejected
        && ejected.isTrialDue(nowNanos);
  }

  private static Vector<Endpoint> candidates(ServiceState service, RoutingEvent.Place place) {
    if (service.avoidances().isEmpty() && place.triedServers().isEmpty()) {
      return service.inUse();
    }
    Vector<Endpoint> untried = withoutTried(service.inUse(), place);
    Vector<Endpoint> present =
        untried.reject(endpoint -> isCapacityGone(service, endpoint, place.nowNanos()));
    Vector<Endpoint> free =
        present.reject(endpoint -> isAvoided(service, endpoint, place.nowNanos()));
    if (!free.isEmpty() && ServiceState.totalSlots(free) >= avoidanceFloorSlots(service, present)) {
      return free;
    }
    if (!present.isEmpty()) {
      return present;
    }
    return untried.isEmpty() ? withoutTried(service.ejected(), place) : untried;
  }

  /** Hints may not do what ejection may not. */
  private static int avoidanceFloorSlots(ServiceState service, Vector<Endpoint> present) {
    return Math.min(
        service.floorSlots(), ServiceState.totalSlots(present) * service.floorPercent() / 100);
  }

  private static Vector<Endpoint> withoutTried(
      Vector<Endpoint> endpoints, RoutingEvent.Place place) {
    return endpoints.reject(endpoint -> place.triedServers().contains(endpoint.server()));
  }

  private static boolean isCapacityGone(ServiceState service, Endpoint endpoint, long nowNanos) {
    return service
        .avoidances()
        .get(endpoint.server())
        .exists(hold -> hold.capacityGone() && hold.isActive(nowNanos));
  }

  private static boolean isAvoided(ServiceState service, Endpoint endpoint, long nowNanos) {
    return service.avoidances().get(endpoint.server()).exists(hold -> hold.isActive(nowNanos));
  }
}
