package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.host.RequestKind;

/**
 * Chooses the backend server of an attempt.
 *
 * <p>A suitable request becomes the trial request of an ejected server if one is due. Otherwise the
 * request goes to an idle server that has asked for one. Failing that, the {@link EndpointChooser}
 * chooses among the endpoints in use, those of the own failure domain first.
 */
final class PlacementPolicy {
  /** Below this, a second attempt would add a request for every short pause of a server. */
  private static final long MIN_SECOND_ATTEMPT_DELAY_MILLIS = 20;

  private static final String TRIAL_REASON = "trial";
  private static final String CHOSEN_REASON = "less-loaded-of-two";
  private static final String IDLE_REASON = "idle";
  private static final String REFUSED_REASON = "refused";

  private final DomainPreference domainPreference;
  private final EndpointChooser chooser;

  PlacementPolicy(DomainPreference domainPreference, EndpointChooser chooser) {
    this.domainPreference = domainPreference;
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
      return placeOn(state, trial.get(), PlacementBasis.of(service, TRIAL_REASON, 1), place);
    }
    Vector<Endpoint> candidates = candidates(service, place);
    if (candidates.isEmpty()) {
      return refuse(
          state, place, retry ? ResultCode.RETRIES_EXHAUSTED : ResultCode.NO_BACKEND_SERVER);
    }
    Option<Endpoint> idle = IdleServerPolicy.idleServer(service, candidates, place.nowNanos());
    if (idle.isDefined()) {
      return placeOnIdle(state, service, idle.get(), place);
    }
    Vector<Endpoint> eligible = domainPreference.preferred(service, candidates);
    Endpoint chosen = chooser.choose(service, eligible, place.random(), place.nowNanos());
    EndpointState server = service.server(chosen.server()).get();
    return placeOn(
        state, server, PlacementBasis.of(service, CHOSEN_REASON, eligible.size()), place);
  }

  /**
   * Whether a server has to be chosen for an attempt, as opposed to a refusal or a trial request.
   */
  boolean choosesServer(ServiceState service, RoutingEvent.Place place) {
    boolean allowed = place.head().attempt() == 1 || service.retryBudget().allowsRetry();
    return allowed && serverDueForTrial(service, place).isEmpty();
  }

  /** Places an attempt as chosen by load queries, unless the retry budget is spent by now. */
  Step<RoutingState, RoutingEffect> placeOn(
      RoutingState state, RoutingEvent.Place place, Placement chosen, PlacementBasis basis) {
    ServiceState service = state.service(place.head().service());
    if (place.head().attempt() > 1 && !service.retryBudget().allowsRetry()) {
      return refuse(state, place, ResultCode.RETRY_BUDGET_SPENT);
    }
    EndpointState server = service.server(chosen.endpoint().server()).get();
    return placeOn(state, server, chosen.admissionMode(), basis, place);
  }

  private static Step<RoutingState, RoutingEffect> placeOnIdle(
      RoutingState state, ServiceState service, Endpoint idle, RoutingEvent.Place place) {
    ServiceState next = service.withIdleServers(service.idleServers().remove(idle.server()));
    return placeOn(
        state.with(place.head().service(), next),
        service.server(idle.server()).get(),
        PlacementBasis.of(service, IDLE_REASON, 1),
        place);
  }

  private static Step<RoutingState, RoutingEffect> refuse(
      RoutingState state, RoutingEvent.Place place, ResultCode code) {
    Failure failure = Failure.of(code, place.head().service().value());
    PlacementBasis basis =
        PlacementBasis.of(state.service(place.head().service()), REFUSED_REASON, 0);
    return Step.to(
        state, new RoutingEffect.Placed(place.head(), Either.left(failure), basis, place.reply()));
  }

  private static Step<RoutingState, RoutingEffect> placeOn(
      RoutingState state, EndpointState chosen, PlacementBasis basis, RoutingEvent.Place place) {
    return placeOn(state, chosen, Option.none(), basis, place);
  }

  private static Step<RoutingState, RoutingEffect> placeOn(
      RoutingState state,
      EndpointState chosen,
      Option<AdmissionMode> admissionMode,
      PlacementBasis basis,
      RoutingEvent.Place place) {
    RequestHead head = place.head();
    ServiceState service = state.service(head.service());
    boolean retry = head.attempt() > 1;
    ServiceState next =
        service
            .with(chosen.with(chosen.outstanding().withRequestPlaced(place.nowNanos())))
            .with(retry ? service.retryBudget().withRetry() : service.retryBudget());
    Placement placement =
        new Placement(chosen.endpoint(), admissionMode, secondAttemptAfterMillis(service, head));
    return Step.to(
        state.with(head.service(), next),
        new RoutingEffect.Placed(head, Either.right(placement), basis, place.reply()));
  }

  private static Option<Long> secondAttemptAfterMillis(ServiceState service, RequestHead head) {
    boolean first =
        head.attempt() == 1 && head.options().admissionMode() != AdmissionMode.ANY_SERVER;
    if (!first) {
      return Option.none();
    }
    return service
        .baseline()
        .latency()
        .usualTotalMillis(RequestKind.of(head))
        .map(usualMillis -> Math.max(MIN_SECOND_ATTEMPT_DELAY_MILLIS, usualMillis))
        .filter(
            delayMillis ->
                RetryPolicy.maySendSecondAttempt(
                    head, 1, false, head.timeoutMillis() - delayMillis));
  }

  /**
   * Returns an ejected server that is due for a trial request.
   *
   * <p>Only a request that can be retried on another server serves as a trial: an idempotent first
   * attempt without a body, while the retry budget allows a retry.
   */
  private static Option<EndpointState> serverDueForTrial(
      ServiceState service, RoutingEvent.Place place) {
    RequestHead head = place.head();
    boolean suitable =
        head.attempt() == 1 && head.idempotent() && head.bodyBytes() == RequestHead.NO_BODY;
    if (!suitable || service.ejected().isEmpty() || !service.retryBudget().allowsRetry()) {
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

  /**
   * Returns the endpoints that the attempt may go to.
   *
   * <p>Avoided servers are passed over while the floor permits it. Servers whose capacity is gone
   * are used only if no other untried server is in use, and ejected ones only if all servers in use
   * have been tried.
   */
  private static Vector<Endpoint> candidates(ServiceState service, RoutingEvent.Place place) {
    if (service.avoidances().isEmpty() && place.triedServers().isEmpty()) {
      return service.inUse();
    }
    Vector<Endpoint> untried = withoutTried(service.inUse(), place);
    Vector<Endpoint> available =
        untried.reject(endpoint -> isCapacityGone(service, endpoint, place.nowNanos()));
    Vector<Endpoint> preferred =
        available.reject(endpoint -> isAvoided(service, endpoint, place.nowNanos()));
    if (!preferred.isEmpty()
        && ServiceState.totalSlots(preferred) >= avoidanceFloorSlots(service, available)) {
      return preferred;
    }
    if (!available.isEmpty()) {
      return available;
    }
    return untried.isEmpty() ? withoutTried(service.ejected(), place) : untried;
  }

  /**
   * Returns the slots that must remain after avoided servers are passed over.
   *
   * <p>Without this, avoidance could take a service below the floor that holds for ejections.
   */
  private static int avoidanceFloorSlots(ServiceState service, Vector<Endpoint> available) {
    return Math.min(
        service.floorSlots(), ServiceState.totalSlots(available) * service.floorPercent() / 100);
  }

  private static Vector<Endpoint> withoutTried(
      Vector<Endpoint> endpoints, RoutingEvent.Place place) {
    return endpoints.reject(endpoint -> place.triedServers().contains(endpoint.server()));
  }

  private static boolean isCapacityGone(ServiceState service, Endpoint endpoint, long nowNanos) {
    return service
        .avoidances()
        .get(endpoint.server())
        .exists(avoidance -> avoidance.capacityGone() && avoidance.isActive(nowNanos));
  }

  private static boolean isAvoided(ServiceState service, Endpoint endpoint, long nowNanos) {
    return service
        .avoidances()
        .get(endpoint.server())
        .exists(avoidance -> avoidance.isActive(nowNanos));
  }
}
