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
    if (retry && !service.budget().allowsRetry()) {
      return refused(state, place, ResultCode.RETRY_BUDGET_SPENT);
    }
    Option<EndpointState> trial = trial(service, place);
    if (trial.isDefined()) {
      return placed(state, service, trial.get(), "trial", place);
    }
    Vector<Endpoint> candidates = candidates(service, place);
    if (candidates.isEmpty()) {
      return refused(
          state, place, retry ? ResultCode.RETRIES_EXHAUSTED : ResultCode.NO_BACKEND_SERVER);
    }
    Endpoint chosen = chooser.choose(service, candidates, place.random(), place.nowNanos());
    EndpointState server = service.server(chosen.server()).get();
    return placed(state, service, server, "less-loaded-of-two", place);
  }

  private static Step<RoutingState, RoutingEffect> refused(
      RoutingState state, RoutingEvent.Place place, ResultCode code) {
    Failure failure = Failure.of(code, place.head().service().value());
    return Step.to(
        state,
        new RoutingEffect.Placed(place.head(), Either.left(failure), "refused", place.reply()));
  }

  private static Step<RoutingState, RoutingEffect> placed(
      RoutingState state,
      ServiceState service,
      EndpointState chosen,
      String reason,
      RoutingEvent.Place place) {
    RequestHead head = place.head();
    boolean retry = head.attempt() > 1;
    ServiceState next =
        service
            .with(chosen.with(chosen.outstanding().placed(place.nowNanos())))
            .with(retry ? service.budget().withRetry() : service.budget().withRequest());
    Placement placement = new Placement(chosen.endpoint());
    return Step.to(
        state.with(head.service(), next),
        new RoutingEffect.Placed(head, Either.right(placement), reason, place.reply()));
  }

  /** The next ejected server to be tried, for a request that may run again elsewhere. */
  private static Option<EndpointState> trial(ServiceState service, RoutingEvent.Place place) {
    RequestHead head = place.head();
    boolean suited =
        head.attempt() == 1 && head.idempotent() && head.bodyBytes() == RequestHead.NO_BODY;
    if (!suited || service.ejected().isEmpty() || !service.budget().allowsRetry()) {
      return Option.none();
    }
    for (Endpoint endpoint : service.ejected()) {
      EndpointState server = service.server(endpoint.server()).get();
      if (trialDue(server, place.nowNanos()) && !held(service, endpoint, place.nowNanos())) {
        return Option.some(server);
      }
    }
    return Option.none();
  }

  private static boolean trialDue(EndpointState server, long nowNanos) {
    return server.outstanding().freshNanos().isEmpty()
        && server.standing() instanceof Standing.Ejected ejected
        && ejected.trialDue(nowNanos);
  }

  private static Vector<Endpoint> candidates(ServiceState service, RoutingEvent.Place place) {
    if (service.holds().isEmpty() && place.tried().isEmpty()) {
      return service.inUse();
    }
    Vector<Endpoint> untried = untried(service.inUse(), place);
    Vector<Endpoint> present =
        untried.reject(endpoint -> departed(service, endpoint, place.nowNanos()));
    Vector<Endpoint> free = present.reject(endpoint -> held(service, endpoint, place.nowNanos()));
    if (!free.isEmpty() && ServiceState.slots(free) >= floorSlots(service, present)) {
      return free;
    }
    if (!present.isEmpty()) {
      return present;
    }
    return untried.isEmpty() ? untried(service.ejected(), place) : untried;
  }

  /** Hints may not do what ejection may not. */
  private static int floorSlots(ServiceState service, Vector<Endpoint> present) {
    return Math.min(
        service.floorSlots(), ServiceState.slots(present) * service.floorPercent() / 100);
  }

  private static Vector<Endpoint> untried(Vector<Endpoint> endpoints, RoutingEvent.Place place) {
    return endpoints.reject(endpoint -> place.tried().contains(endpoint.server()));
  }

  private static boolean departed(ServiceState service, Endpoint endpoint, long nowNanos) {
    return service
        .holds()
        .get(endpoint.server())
        .exists(hold -> hold.departed() && hold.stands(nowNanos));
  }

  private static boolean held(ServiceState service, Endpoint endpoint, long nowNanos) {
    return service.holds().get(endpoint.server()).exists(hold -> hold.stands(nowNanos));
  }
}
