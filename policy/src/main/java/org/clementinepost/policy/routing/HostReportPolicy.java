package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.HostReport;
import org.clementinepost.kernel.Step;

/**
 * Judges the backend servers of this node from the requests of all ingress nodes.
 *
 * <p>An ingress node alone sees too few answers of one backend server to judge it soon. A new
 * verdict is told to those that sent requests of late, this node included; with each answer goes
 * the verdict that stands.
 */
final class HostReportPolicy {
  private HostReportPolicy() {}

  static RoutingState onRequestStarted(
      RoutingState state, RoutingEvent.HostedRequestStarted serving) {
    HostedServerEvidence hosted =
        state
            .hostedServers()
            .getOrElse(serving.server(), HostedServerEvidence.of(serving.service()))
            .withRequestStarted(serving.ingress(), serving.nowNanos());
    return state.withHostedServers(state.hostedServers().put(serving.server(), hosted));
  }

  static Step<RoutingState, RoutingEffect> onRequestEnded(
      RoutingState state, RoutingEvent.HostedRequestEnded served) {
    Option<HostedServerEvidence> known = state.hostedServers().get(served.server());
    if (known.isEmpty()) {
      return Step.to(state, new RoutingEffect.ReplyWithReport(HostReport.HEALTHY, served.reply()));
    }
    long nowNanos = served.nowNanos();
    HostedServerEvidence before = known.get();
    ServiceBaseline reference = state.service(before.service()).baseline();
    HostedServerEvidence heard = served.status() == 0 ? before : before.withAnswerAt(nowNanos);
    HostedServerEvidence after =
        heard.withRequestEnded(
            OutcomePolicy.hostedServerOutcome(served, reference), reference, nowNanos);
    Step<RoutingState, RoutingEffect> told =
        updateAndNotify(state, served.server(), before, after, nowNanos);
    return Step.to(
        told.state(),
        told.effects()
            .append(
                new RoutingEffect.ReplyWithReport(after.currentReport(nowNanos), served.reply())));
  }

  static Step<RoutingState, RoutingEffect> onTick(RoutingState state, long nowNanos) {
    RoutingState next = state;
    Vector<RoutingEffect> effects = Vector.empty();
    for (BackendServerId server : state.hostedServers().keySet()) {
      HostedServerEvidence before = state.hostedServers().get(server).get();
      ServiceBaseline reference = state.service(before.service()).baseline();
      HostedServerEvidence after = before.atTick(reference, nowNanos);
      Step<RoutingState, RoutingEffect> step =
          updateAndNotify(next, server, before, after, nowNanos);
      next = step.state();
      effects = effects.appendAll(step.effects());
    }
    return Step.to(next, effects);
  }

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
