package org.clementinepost.policy.routing;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Step;

/**
 * Detects faulty backend servers from the results of attempts, and ejects them.
 *
 * <p>Evidence comes from attempts that ended, from attempts without a response that have become
 * overdue, and from the health reports of hosts.
 */
final class OutlierDetectionPolicy {
  private OutlierDetectionPolicy() {}

  static Step<RoutingState, RoutingEffect> onAttemptEnded(
      RoutingState state, RoutingEvent.AttemptEnded ended) {
    ServiceId id = ended.endpoint().service();
    Option<ServiceState> known = state.services().get(id);
    Option<EndpointState> server = known.flatMap(s -> s.server(ended.endpoint().server()));
    if (server.isEmpty()) {
      return Step.to(state);
    }
    ServiceState service =
        withRetryBudget(withAvoidance(known.get(), ended), ended, state.retryLimits());
    long placedNanos = ended.nowNanos() - TimeUnit.MICROSECONDS.toNanos(ended.totalMicros());
    boolean overdue = server.get().outstanding().isOverdue(placedNanos);
    EndpointState released = withAttemptRemoved(server.get(), ended, placedNanos);
    Option<Outcome> outcome = OutcomePolicy.serverOutcome(ended, service.baseline());
    Option<Outcome> path = OutcomePolicy.pathOutcome(ended, service.baseline());
    RoutingState next =
        path.map(
                pathOutcome ->
                    state.with(
                        ended.endpoint().host(),
                        state
                            .pathEvidenceOf(ended.endpoint().host())
                            .withOutcome(pathOutcome, service.baseline(), ended.nowNanos())))
            .getOrElse(state);
    if (outcome.isEmpty()) {
      return updateEjection(next.with(id, service.with(released)), id, released, ended.nowNanos());
    }
    EndpointState updated = withOutcome(released, outcome.get(), overdue, service, ended);
    ServiceState updatedService =
        service.with(updated).with(updatedBaseline(service, outcome.get(), ended));
    return updateEjection(next.with(id, updatedService), id, updated, ended.nowNanos());
  }

  /** Counts a first attempt that reached its server, and gives back a retry that did not. */
  private static ServiceState withRetryBudget(
      ServiceState service, RoutingEvent.AttemptEnded ended, RetryLimits limits) {
    boolean reached = ended.failure().forAll(RetryPolicy::mayHaveReachedServer);
    boolean retry = ended.attempt() > 1;
    if (reached == retry) {
      return service;
    }
    RetryBudget budget = service.retryBudget();
    return service.with(retry ? budget.withoutRetry(limits) : budget.withRequest(limits));
  }

  private static EndpointState withAttemptRemoved(
      EndpointState server, RoutingEvent.AttemptEnded ended, long placedNanos) {
    EndpointState released = server.with(server.outstanding().withoutRequestPlacedAt(placedNanos));
    return ended.status() == 0 ? released : released.withResponseAt(ended.nowNanos());
  }

  /** Avoids the server after a refusal; if its failure domain is out, all servers of the domain. */
  private static ServiceState withAvoidance(ServiceState service, RoutingEvent.AttemptEnded ended) {
    if (ended.failure().isEmpty()) {
      return service;
    }
    Failure failure = ended.failure().get();
    Avoidance avoidance = Avoidance.ofFailure(failure, ended.nowNanos());
    if (!avoidance.isActive(ended.nowNanos())) {
      return service;
    }
    if (failure.code() != ResultCode.FAILURE_DOMAIN_OUT) {
      return service.withAvoidances(service.avoidances().put(ended.endpoint().server(), avoidance));
    }
    Map<BackendServerId, Avoidance> ofDomain =
        service
            .servers()
            .filterValues(s -> s.endpoint().domain().equals(ended.endpoint().domain()))
            .mapValues(s -> avoidance);
    return service.withAvoidances(ofDomain.merge(service.avoidances()));
  }

  private static ServiceBaseline updatedBaseline(
      ServiceState service, Outcome outcome, RoutingEvent.AttemptEnded ended) {
    return ended.failure().isDefined()
        ? service.baseline().withOutcome(outcome, ended.nowNanos())
        : service
            .baseline()
            .withResponse(
                outcome, ended.kind(), ended.serverMicros(), ended.totalMicros(), ended.nowNanos());
  }

  private static EndpointState withOutcome(
      EndpointState server,
      Outcome outcome,
      boolean overdue,
      ServiceState service,
      RoutingEvent.AttemptEnded ended) {
    if (server.ejectionState() instanceof EjectionState.Ejected ejected) {
      return withTrialOutcome(server, ejected, outcome, overdue, ended);
    }
    if (ended.report().isUnhealthy()) {
      return server.with(Evidence.ofReport(ended.report()));
    }
    if (!overdue || !service.baseline().latency().countsOverdueAttempts()) {
      return server.with(
          server.evidence().withOutcome(outcome, service.baseline(), ended.nowNanos()));
    }
    // The request was counted as slow when it became overdue, before it was known whether the
    // server or the path delayed it. It must not count twice, nor at all if only the path was slow.
    Evidence corrected =
        outcome.slow()
            ? server.evidence()
            : server.evidence().withoutSlowOutcome(service.baseline());
    Outcome withoutSlowness = new Outcome(outcome.failing(), false, outcome.slowNats());
    return server.with(
        corrected.withOutcome(withoutSlowness, service.baseline(), ended.nowNanos()));
  }

  /**
   * Applies the outcome of a trial request.
   *
   * <p>An unhealthy report of the host outweighs a single trial request of this node: the trial
   * then counts as failed.
   */
  private static EndpointState withTrialOutcome(
      EndpointState server,
      EjectionState.Ejected ejected,
      Outcome outcome,
      boolean overdue,
      RoutingEvent.AttemptEnded ended) {
    if (overdue || !ejected.isTrialDue(ended.nowNanos())) {
      return server;
    }
    Outcome combined =
        ended.report().isUnhealthy()
            ? new Outcome(true, outcome.slow(), outcome.slowNats())
            : outcome;
    return server.with(ejected.withTrialOutcome(combined, ended.nowNanos()));
  }

  /** Ejects the backend server if the evidence suffices and the floor permits, or re-admits it. */
  private static Step<RoutingState, RoutingEffect> updateEjection(
      RoutingState state, ServiceId id, EndpointState server, long nowNanos) {
    ServiceState service = state.service(id);
    if (server.ejectionState() instanceof EjectionState.InUse inUse) {
      return updateEjection(state, id, service, server, inUse, nowNanos);
    }
    return Step.to(state);
  }

  private static Step<RoutingState, RoutingEffect> updateEjection(
      RoutingState state,
      ServiceId id,
      ServiceState service,
      EndpointState server,
      EjectionState.InUse inUse,
      long nowNanos) {
    boolean readmitted = service.ejected().contains(server.endpoint());
    if (readmitted) {
      ServiceState regrouped = service.withEndpointsRegrouped();
      return Step.to(
          state.with(id, regrouped).with(server.endpoint().host(), Evidence.NONE),
          new RoutingEffect.Readmitted(server.endpoint(), regrouped.ejected().size()));
    }
    Option<EjectionReason> reason =
        EjectionPolicy.ejectionReason(
            server, state.pathEvidenceOf(server.endpoint().host()), nowNanos);
    if (reason.isEmpty() || !EjectionPolicy.mayEject(service, server)) {
      return Step.to(state);
    }
    EjectionState.Ejected ejected =
        EjectionState.Ejected.withBackoff(
            inUse.consecutiveEjectionsAt(nowNanos), reason.get(), nowNanos);
    ServiceState next = service.with(server, ejected);
    return Step.to(
        state.with(id, next),
        new RoutingEffect.Ejected(
            server.endpoint(),
            reason.get(),
            ejected.consecutiveEjections(),
            ejected.nextTrialNanos(),
            next.ejected().size()));
  }

  /**
   * Marks overdue requests, drops expired avoidances, ejects servers where that follows, and ends
   * expired ejections.
   */
  static Step<RoutingState, RoutingEffect> onTick(RoutingState state, long nowNanos) {
    RoutingState next = state;
    Vector<RoutingEffect> effects = Vector.empty();
    for (ServiceId id : state.services().keySet()) {
      Step<RoutingState, RoutingEffect> step = onTick(next, id, nowNanos);
      next = step.state();
      effects = effects.appendAll(step.effects());
    }
    return Step.to(next, effects);
  }

  private static Step<RoutingState, RoutingEffect> onTick(
      RoutingState state, ServiceId id, long nowNanos) {
    ServiceState service = state.service(id);
    service = IdleServerPolicy.withoutExpired(service, nowNanos);
    if (service.avoidances().nonEmpty()) {
      service =
          service.withAvoidances(
              service.avoidances().filterValues(avoidance -> avoidance.isActive(nowNanos)));
    }
    RoutingState next = state.with(id, service);
    Vector<RoutingEffect> effects = Vector.empty();
    for (EndpointState server : service.servers().values()) {
      boolean idle =
          server.isInUse()
              && server.outstanding().onTimePlacedNanos().isEmpty()
              && server.evidence().isNone();
      if (idle) {
        continue;
      }
      EndpointState updated =
          withoutExpiredEjection(
              withOverdueRequests(server, service.baseline(), nowNanos), nowNanos);
      next = next.with(id, next.service(id).with(updated));
      Step<RoutingState, RoutingEffect> step = updateEjection(next, id, updated, nowNanos);
      next = step.state();
      effects = effects.appendAll(step.effects());
    }
    return Step.to(next, effects);
  }

  private static EndpointState withoutExpiredEjection(EndpointState server, long nowNanos) {
    return server.ejectionState() instanceof EjectionState.Ejected ejected
            && ejected.isExpired(nowNanos)
        ? server.with(ejected.readmitted(nowNanos))
        : server;
  }

  private static EndpointState withOverdueRequests(
      EndpointState server, ServiceBaseline baseline, long nowNanos) {
    OutstandingRequests outstanding =
        server.outstanding().withOverdueMarked(nowNanos, baseline.latency().overdueAfterNanos());
    int newlyOverdue =
        outstanding.overduePlacedNanos().size() - server.outstanding().overduePlacedNanos().size();
    EndpointState next = server.with(outstanding);
    for (int i = 0; i < newlyOverdue; i++) {
      next = withOverdueOutcome(next, baseline, nowNanos);
    }
    return next;
  }

  private static EndpointState withOverdueOutcome(
      EndpointState server, ServiceBaseline baseline, long nowNanos) {
    if (server.ejectionState() instanceof EjectionState.Ejected ejected) {
      return ejected.isTrialDue(nowNanos)
          ? server.with(ejected.withTrialOutcome(Outcome.SLOW, nowNanos))
          : server;
    }
    if (!baseline.latency().countsOverdueAttempts()) {
      return server;
    }
    return server.with(server.evidence().withOutcome(Outcome.SLOW, baseline, nowNanos));
  }

  /** Applies a host's health report as if it were conclusive evidence of this node. */
  static Step<RoutingState, RoutingEffect> onHostReport(
      RoutingState state, RoutingEvent.HostReported reported) {
    Option<EndpointState> server =
        state.services().get(reported.service()).flatMap(s -> s.server(reported.server()));
    boolean known = server.exists(s -> s.isInUse() && s.endpoint().host().equals(reported.host()));
    if (!known || !reported.report().isUnhealthy()) {
      return Step.to(state);
    }
    EndpointState next = server.get().with(Evidence.ofReport(reported.report()));
    ServiceState service = state.service(reported.service()).with(next);
    return updateEjection(
        state.with(reported.service(), service), reported.service(), next, reported.nowNanos());
  }
}
