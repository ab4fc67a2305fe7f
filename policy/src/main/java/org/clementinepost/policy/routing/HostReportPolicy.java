package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.HostReport;
import org.clementinepost.kernel.Step;

/**
 * Detects faults of the backend servers on this node and reports them to ingress nodes.
 *
 * <p>The host uses the requests of all ingress nodes, since a single ingress node sees too few
 * responses of one backend server to detect a fault quickly. It sends a new unhealthy report to the
 * ingress nodes that have sent requests recently, which may include this node. Each response
 * carries the current report.
 */
final class HostReportPolicy {
  private HostReportPolicy() {}

  static RoutingState onRequestStarted(
      RoutingState state, RoutingEvent.HostedRequestStarted started) {
    HostedServerEvidence hosted =
        state
            .hostedServers()
            .getOrElse(started.server(), HostedServerEvidence.of(started.service()))
            .withRequestStarted(
                started.request(), started.ingress(), slots(state, started), started.nowNanos());
    return state.withHostedServers(state.hostedServers().put(started.server(), hosted));
  }

  private static int slots(RoutingState state, RoutingEvent.HostedRequestStarted started) {
    return state
        .services()
        .get(started.service())
        .flatMap(service -> service.server(started.server()))
        .map(server -> server.endpoint().slots())
        .getOrElse(0);
  }

  static Step<RoutingState, RoutingEffect> onRequestEnded(
      RoutingState state, RoutingEvent.HostedRequestEnded ended) {
    Option<HostedServerEvidence> known = state.hostedServers().get(ended.server());
    if (known.isEmpty()) {
      return Step.to(state, new RoutingEffect.ReplyWithReport(HostReport.HEALTHY, ended.reply()));
    }
    long nowNanos = ended.nowNanos();
    HostedServerEvidence before = known.get();
    ServiceBaseline baseline = state.service(before.service()).baseline();
    HostedServerEvidence responded =
        ended.status() == 0 ? before : before.withResponse(ended.status(), nowNanos);
    HostedServerEvidence after =
        responded
            .withRequestEnded(
                OutcomePolicy.hostedServerOutcome(ended, before.runs(), baseline),
                baseline,
                nowNanos)
            .withRunEnded(ended);
    Step<RoutingState, RoutingEffect> notified =
        updateAndNotify(state, ended.server(), before, after, nowNanos);
    return Step.to(
        notified.state(),
        notified
            .effects()
            .append(
                new RoutingEffect.ReplyWithReport(after.currentReport(nowNanos), ended.reply())));
  }

  static Step<RoutingState, RoutingEffect> onTick(RoutingState state, long nowNanos) {
    RoutingState next = state;
    Vector<RoutingEffect> effects = Vector.empty();
    for (BackendServerId server : state.hostedServers().keySet()) {
      HostedServerEvidence before = state.hostedServers().get(server).get();
      ServiceBaseline baseline = state.service(before.service()).baseline();
      HostedServerEvidence after = before.atTick(baseline, nowNanos);
      Step<RoutingState, RoutingEffect> step =
          updateAndNotify(next, server, before, after, nowNanos);
      Step<RoutingState, RoutingEffect> idle =
          step.then(s -> IdleServerPolicy.notifyIfIdle(s, server, after, nowNanos));
      next = idle.state();
      effects = effects.appendAll(idle.effects());
    }
    return Step.to(next, effects);
  }

  /** Stores the new evidence, and notifies ingress nodes if the report has become unhealthy. */
  private static Step<RoutingState, RoutingEffect> updateAndNotify(
      RoutingState state,
      BackendServerId server,
      HostedServerEvidence before,
      HostedServerEvidence after,
      long nowNanos) {
    RoutingState next =
        state.withHostedServers(
            after.isUnused()
                ? state.hostedServers().remove(server)
                : state.hostedServers().put(server, after));
    HostReport report = after.currentReport(nowNanos);
    if (report == HostReport.HEALTHY || report == before.currentReport(nowNanos)) {
      return Step.to(next);
    }
    return Step.to(
        next,
        new RoutingEffect.NotifyIngresses(
            after.recentIngressNodes(), server, after.service(), report));
  }
}
