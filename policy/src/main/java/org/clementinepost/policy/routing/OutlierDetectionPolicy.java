package org.clementinepost.policy.routing;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Step;

/** Gathers evidence from the ends of attempts, and from attempts that do not end. */
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
    ServiceState service = withAvoidance(known.get(), ended);
    long placedNanos = ended.nowNanos() - TimeUnit.MICROSECONDS.toNanos(ended.totalMicros());
    boolean overdue = server.get().outstanding().isOverdue(placedNanos);
    EndpointState freed = withAttemptRemoved(server.get(), ended, placedNanos);
    Option<Outcome> outcome = OutcomePolicy.serverOutcome(ended, service.baseline());
    Option<Outcome> path = OutcomePolicy.pathOutcome(ended, service.baseline());
    RoutingState next =
        path.map(
                seen ->
                    state.with(
                        ended.endpoint().host(),
                        state
                            .pathEvidenceOf(ended.endpoint().host())
                            .withOutcome(seen, service.baseline(), ended.nowNanos())))
            .getOrElse(state);
    if (outcome.isEmpty()) {
      return updateEjection(next.with(id, service.with(freed)), id, freed, ended.nowNanos());
    }
    EndpointState seen = withOutcome(freed, outcome.get(), overdue, service, ended);
    ServiceState counted = service.with(seen).with(updatedBaseline(service, outcome.get(), ended));
    return updateEjection(next.with(id, counted), id, seen, ended.nowNanos());
  }

  private static EndpointState withAttemptRemoved(
      EndpointState server, RoutingEvent.AttemptEnded ended, long placedNanos) {
    EndpointState freed = server.with(server.outstanding().withoutRequestPlacedAt(placedNanos));
    return ended.status() == 0 ? freed : freed.withAnswerAt(ended.nowNanos());
  }

  private static ServiceState withAvoidance(ServiceState service, RoutingEvent.AttemptEnded ended) {
    if (ended.failure().isEmpty()) {
      return service;
    }
    Failure failure = ended.failure().get();
    Avoidance hold = Avoidance.ofFailure(failure, ended.nowNanos());
    if (!hold.isActive(ended.nowNanos())) {
      return service;
    }
    if (failure.code() != ResultCode.FAILURE_DOMAIN_OUT) {
      return service.withAvoidances(service.avoidances().put(ended.endpoint().server(), hold));
    }
    Map<BackendServerId, Avoidance> ofDomain =
        service
            .servers()
            .filterValues(s -> s.endpoint().domain().equals(ended.endpoint().domain()))
            .mapValues(s -> hold);
    return service.withAvoidances(ofDomain.merge(service.avoidances()));
  }

  private static ServiceBaseline updatedBaseline(
      ServiceState service, Outcome outcome, RoutingEvent.AttemptEnded ended) {
    return ended.failure().isDefined()
        ? service.baseline().withOutcome(outcome, ended.nowNanos())
        : service
            .baseline()
            .withAnswer(outcome, ended.serverMicros(), ended.totalMicros(), ended.nowNanos());
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
    if (ended.report() != HostReport.HEALTHY) {
      return server.with(Evidence.ofReport(ended.report()));
    }
    if (!overdue) {
      return server.with(
          server.evidence().withOutcome(outcome, service.baseline(), ended.nowNanos()));
    }
    // It has counted as slow when it became overdue, whoever was to blame.
    Evidence corrected =
        outcome.slow()
            ? server.evidence()
            : server.evidence().withoutSlowOutcome(service.baseline());
    Outcome rest = new Outcome(outcome.failing(), false);
    return server.with(corrected.withOutcome(rest, service.baseline(), ended.nowNanos()));
  }

  /** What a host has seen of late counts more than the one trial request of this node. */
  private static EndpointState withTrialOutcome(
      EndpointState server,
      EjectionState.Ejected ejected,
      Outcome outcome,
      boolean overdue,
      RoutingEvent.AttemptEnded ended) {
    if (overdue || !ejected.isTrialDue(ended.nowNanos())) {
      return server;
    }
    Outcome whole =
        ended.report() == HostReport.HEALTHY ? outcome : new Outcome(true, outcome.slow());
    return server.with(ejected.withTrialOutcome(whole, ended.nowNanos()));
  }

  /** Follows from the evidence against one backend server. */
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
      return Step.to(
          state
              .with(id, service.withEndpointsRegrouped())
              .with(server.endpoint().host(), Evidence.NONE),
          new RoutingEffect.Readmitted(server.endpoint()));
    }
    Option<EjectionReason> verdict =
        EjectionPolicy.ejectionReason(
            server, state.pathEvidenceOf(server.endpoint().host()), nowNanos);
    if (verdict.isEmpty() || !EjectionPolicy.mayEject(service, server)) {
      return Step.to(state);
    }
    EjectionState.Ejected ejected =
        EjectionState.Ejected.withBackoff(
            inUse.consecutiveEjectionsAt(nowNanos), verdict.get(), nowNanos);
    return Step.to(
        state.with(id, service.with(server, ejected)),
        new RoutingEffect.Ejected(
            server.endpoint(),
            verdict.get(),
            ejected.consecutiveEjections(),
            ejected.nextTrialNanos()));
  }

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
    if (service.avoidances().nonEmpty()) {
      service =
          service.withAvoidances(
              service.avoidances().filterValues(hold -> hold.isActive(nowNanos)));
    }
    RoutingState next = state.with(id, service);
    Vector<RoutingEffect> effects = Vector.empty();
    for (EndpointState server : service.servers().values()) {
      boolean idle =
          server.outstanding().onTimePlacedNanos().isEmpty() && server.evidence().isNone();
      if (idle) {
        continue;
      }
      EndpointState aged = withOverdueRequests(server, service.baseline(), nowNanos);
      next = next.with(id, next.service(id).with(aged));
      Step<RoutingState, RoutingEffect> step = updateEjection(next, id, aged, nowNanos);
      next = step.state();
      effects = effects.appendAll(step.effects());
    }
    return Step.to(next, effects);
  }

  private static EndpointState withOverdueRequests(
      EndpointState server, ServiceBaseline reference, long nowNanos) {
    OutstandingRequests outstanding =
        server.outstanding().withOverdueMarked(nowNanos, reference.overdueAfterNanos());
    int late =
        outstanding.overduePlacedNanos().size() - server.outstanding().overduePlacedNanos().size();
    EndpointState next = server.with(outstanding);
    for (int i = 0; i < late; i++) {
      next = withOverdueOutcome(next, reference, nowNanos);
    }
    return next;
  }

  private static EndpointState withOverdueOutcome(
      EndpointState server, ServiceBaseline reference, long nowNanos) {
    if (server.ejectionState() instanceof EjectionState.Ejected ejected) {
      return ejected.isTrialDue(nowNanos)
          ? server.with(ejected.withTrialOutcome(Outcome.SLOW, nowNanos))
          : server;
    }
    return server.with(server.evidence().withOutcome(Outcome.SLOW, reference, nowNanos));
  }

  /** Takes a host's verdict for evidence of this node's own. */
  static Step<RoutingState, RoutingEffect> onHostReport(
      RoutingState state, RoutingEvent.HostReported reported) {
    Option<EndpointState> server =
        state.services().get(reported.service()).flatMap(s -> s.server(reported.server()));
    boolean known = server.exists(s -> s.isInUse() && s.endpoint().host().equals(reported.host()));
    if (!known || reported.report() == HostReport.HEALTHY) {
      return Step.to(state);
    }
    EndpointState next = server.get().with(Evidence.ofReport(reported.report()));
    ServiceState service = state.service(reported.service()).with(next);
    return updateEjection(
        state.with(reported.service(), service), reported.service(), next, reported.nowNanos());
  }
}
