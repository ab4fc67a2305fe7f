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
final class EvidencePolicy {
  private EvidencePolicy() {}

  static Step<RoutingState, RoutingEffect> ended(RoutingState state, RoutingEvent.Ended ended) {
    ServiceId id = ended.endpoint().service();
    Option<ServiceState> known = state.services().get(id);
    Option<EndpointState> server = known.flatMap(s -> s.server(ended.endpoint().server()));
    if (server.isEmpty()) {
      return Step.to(state);
    }
    ServiceState service = withHold(known.get(), ended);
    long placedNanos = ended.nowNanos() - TimeUnit.MICROSECONDS.toNanos(ended.totalMicros());
    boolean overdue = server.get().outstanding().isOverdue(placedNanos);
    EndpointState freed = server.get().with(server.get().outstanding().ended(placedNanos));
    Option<Outcome> outcome = OutcomePolicy.ofServer(ended, service.reference());
    Option<Outcome> path = OutcomePolicy.ofPath(ended, service.reference());
    RoutingState next =
        path.map(
                seen ->
                    state.with(
                        ended.endpoint().host(),
                        state
                            .path(ended.endpoint().host())
                            .with(seen, service.reference(), ended.nowNanos())))
            .getOrElse(state);
    if (outcome.isEmpty()) {
      return judged(next.with(id, service.with(freed)), id, freed, ended.nowNanos());
    }
    EndpointState seen = seen(freed, outcome.get(), overdue, service, ended);
    ServiceState counted = service.with(seen).with(reference(service, outcome.get(), ended));
    return judged(next.with(id, counted), id, seen, ended.nowNanos());
  }

  private static ServiceState withHold(ServiceState service, RoutingEvent.Ended ended) {
    if (ended.failure().isEmpty()) {
      return service;
    }
    Failure failure = ended.failure().get();
    Hold hold = Hold.after(failure, ended.nowNanos());
    if (!hold.stands(ended.nowNanos())) {
      return service;
    }
    if (failure.code() != ResultCode.FAILURE_DOMAIN_OUT) {
      return service.withHolds(service.holds().put(ended.endpoint().server(), hold));
    }
    Map<BackendServerId, Hold> ofDomain =
        service
            .servers()
            .filterValues(s -> s.endpoint().domain().equals(ended.endpoint().domain()))
            .mapValues(s -> hold);
    return service.withHolds(ofDomain.merge(service.holds()));
  }

  private static Reference reference(
      ServiceState service, Outcome outcome, RoutingEvent.Ended ended) {
    return ended.failure().isDefined()
        ? service.reference().counted(outcome, ended.nowNanos())
        : service
            .reference()
            .with(outcome, ended.serverMicros(), ended.totalMicros(), ended.nowNanos());
  }

  private static EndpointState seen(
      EndpointState server,
      Outcome outcome,
      boolean overdue,
      ServiceState service,
      RoutingEvent.Ended ended) {
    if (server.standing() instanceof Standing.Ejected ejected) {
      return triedOn(server, ejected, outcome, overdue, ended);
    }
    if (ended.report() != HostReport.HEALTHY) {
      return server.with(Evidence.reported(ended.report(), ended.nowNanos()));
    }
    if (!overdue) {
      return server.with(server.evidence().with(outcome, service.reference(), ended.nowNanos()));
    }
    // It has counted as slow when it became overdue, whoever was to blame.
    Evidence corrected =
        outcome.slow()
            ? server.evidence()
            : server.evidence().withoutSlow(service.reference(), ended.nowNanos());
    Outcome rest = new Outcome(outcome.failing(), false);
    return server.with(corrected.with(rest, service.reference(), ended.nowNanos()));
  }

  /** What a host has seen of late counts more than the one trial request of this node. */
  private static EndpointState triedOn(
      EndpointState server,
      Standing.Ejected ejected,
      Outcome outcome,
      boolean overdue,
      RoutingEvent.Ended ended) {
    if (overdue || !ejected.trialDue(ended.nowNanos())) {
      return server;
    }
    Outcome whole =
        ended.report() == HostReport.HEALTHY ? outcome : new Outcome(true, outcome.slow());
    return server.with(ejected.tried(whole, ended.nowNanos()));
  }

  /** Follows from the evidence against one backend server. */
  private static Step<RoutingState, RoutingEffect> judged(
      RoutingState state, ServiceId id, EndpointState server, long nowNanos) {
    ServiceState service = state.service(id);
    if (server.standing() instanceof Standing.InUse inUse) {
      return judged(state, id, service, server, inUse, nowNanos);
    }
    return Step.to(state);
  }

  private static Step<RoutingState, RoutingEffect> judged(
      RoutingState state,
      ServiceId id,
      ServiceState service,
      EndpointState server,
      Standing.InUse inUse,
      long nowNanos) {
    boolean readmitted = service.ejected().contains(server.endpoint());
    if (readmitted) {
      return Step.to(
          state.with(id, service.regrouped()).with(server.endpoint().host(), Evidence.NONE),
          new RoutingEffect.Readmitted(server.endpoint()));
    }
    Option<EjectionReason> verdict =
        EjectionPolicy.verdict(server, state.path(server.endpoint().host()), nowNanos);
    if (verdict.isEmpty() || !EjectionPolicy.mayEject(service, server)) {
      return Step.to(state);
    }
    Standing.Ejected ejected =
        Standing.Ejected.after(inUse.strikesAt(nowNanos), verdict.get(), nowNanos);
    return Step.to(
        state.with(id, service.with(server, ejected)),
        new RoutingEffect.Ejected(
            server.endpoint(), verdict.get(), ejected.strikes(), ejected.untilNanos()));
  }

  static Step<RoutingState, RoutingEffect> ticked(RoutingState state, long nowNanos) {
    RoutingState next = state;
    Vector<RoutingEffect> effects = Vector.empty();
    for (ServiceId id : state.services().keySet()) {
      Step<RoutingState, RoutingEffect> step = ticked(next, id, nowNanos);
      next = step.state();
      effects = effects.appendAll(step.effects());
    }
    return Step.to(next, effects);
  }

  private static Step<RoutingState, RoutingEffect> ticked(
      RoutingState state, ServiceId id, long nowNanos) {
    ServiceState service = state.service(id);
    if (service.holds().nonEmpty()) {
      service = service.withHolds(service.holds().filterValues(hold -> hold.stands(nowNanos)));
    }
    RoutingState next = state.with(id, service);
    Vector<RoutingEffect> effects = Vector.empty();
    for (EndpointState server : service.servers().values()) {
      boolean idle = server.outstanding().freshNanos().isEmpty() && server.evidence().isNone();
      if (idle) {
        continue;
      }
      EndpointState aged = aged(server, service.reference(), nowNanos);
      next = next.with(id, next.service(id).with(aged));
      Step<RoutingState, RoutingEffect> step = judged(next, id, aged, nowNanos);
      next = step.state();
      effects = effects.appendAll(step.effects());
    }
    return Step.to(next, effects);
  }

  private static EndpointState aged(EndpointState server, Reference reference, long nowNanos) {
    Outstanding outstanding = server.outstanding().aged(nowNanos, reference.overdueNanos());
    int late = outstanding.overdueNanos().size() - server.outstanding().overdueNanos().size();
    EndpointState next = server.with(outstanding);
    for (int i = 0; i < late; i++) {
      next = late(next, reference, nowNanos);
    }
    return next;
  }

  private static EndpointState late(EndpointState server, Reference reference, long nowNanos) {
    if (server.standing() instanceof Standing.Ejected ejected) {
      return ejected.trialDue(nowNanos)
          ? server.with(ejected.tried(Outcome.SLOW, nowNanos))
          : server;
    }
    return server.with(server.evidence().with(Outcome.SLOW, reference, nowNanos));
  }

  static Step<RoutingState, RoutingEffect> served(RoutingState state, RoutingEvent.Served served) {
    HostedEvidence before = state.hosted().getOrElse(served.server(), HostedEvidence.NONE);
    Reference reference = state.service(served.service()).reference();
    HostedEvidence after =
        OutcomePolicy.ofServed(served, reference)
            .map(outcome -> before.with(outcome, reference, served.nowNanos()))
            .getOrElse(before);
    return Step.to(
        state.withHosted(state.hosted().put(served.server(), after)),
        new RoutingEffect.Reported(after.report(served.nowNanos()), served.reply()));
  }
}
