package org.clementinepost.node.routing;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;
import org.clementinepost.api.Member;
import org.clementinepost.api.peer.HostReportMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.policy.host.RequestKind;
import org.clementinepost.policy.routing.HostedRequest;
import org.clementinepost.policy.routing.RetryBound;
import org.clementinepost.policy.routing.RetryPolicy;
import org.clementinepost.policy.routing.RoutingEffect;
import org.clementinepost.policy.routing.RoutingEvent;
import org.clementinepost.policy.routing.RoutingPolicy;
import org.clementinepost.policy.routing.RoutingState;
import org.clementinepost.policy.routing.ServerOffer;

/** Chooses backend servers for the requests of this node: runs {@link RoutingPolicy} as a task. */
public final class RoutingService {
  /** The name under which the service is registered. */
  public static final ServiceName<RoutingMessage> NAME =
      ServiceName.of("routing", RoutingMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_INTERVAL_MILLIS = 200;

  private RoutingService() {}

  /** Returns the definition of the service. */
  public static ServiceDefinition<RoutingMessage> definition(
      Member self, RetryBound retryBound, LoadSettings load) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> start(context, self, retryBound, load));
  }

  private static Behaviour<RoutingMessage> start(
      TaskContext<RoutingMessage> context, Member self, RetryBound retryBound, LoadSettings load) {
    LoadQueries loadQueries = new LoadQueries(self.node(), context, load);
    context.sendEvery(
        NAME.text(), TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, new RoutingMessage.Tick());
    ConfigurationService.subscribe(context, RoutingMessage.Configured::new);
    context
        .registry()
        .find(MembershipService.NAME)
        .send(
            new MembershipMessage.Subscribe(
                others ->
                    context.self().send(new RoutingMessage.NodeCountChanged(others.size() + 1))));
    return Behaviour.ofDecision(
        load.secondAttempts() ? RoutingState.emptyByKind() : RoutingState.empty(),
        message -> {
          countAdmitted(message, loadQueries);
          return toEvent(message, context, retryBound);
        },
        RoutingPolicy.builder().domain(self.domain()).loadQueries(load.queries()).build(),
        effect -> handle(effect, self, context, loadQueries));
  }

  private static void countAdmitted(RoutingMessage message, LoadQueries loadQueries) {
    if (message instanceof RoutingMessage.AttemptEnded ended
        && (ended.head().status() != 0
            || ended.failure().exists(RetryPolicy::mayHaveReachedServer))) {
      loadQueries.countAdmitted();
    }
  }

  private static RoutingEvent toEvent(
      RoutingMessage message, TaskContext<RoutingMessage> context, RetryBound retryBound) {
    long nowNanos = context.clock().nowNanos();
    if (message instanceof RoutingMessage.Place place) {
      return new RoutingEvent.Place(
          place.head(), place.triedServers(), context.random().nextLong(), nowNanos, place.reply());
    }
    if (message instanceof RoutingMessage.AttemptEnded ended) {
      return new RoutingEvent.AttemptEnded(
          ended.endpoint(),
          ended.request().attempt(),
          RequestKind.of(ended.request()),
          ended.failure(),
          ended.head().status(),
          ended.head().serverMicros(),
          ended.totalMicros(),
          ended.head().report(),
          nowNanos);
    }
    if (message instanceof RoutingMessage.EndpointsChanged changed) {
      return new RoutingEvent.EndpointsChanged(changed.service(), changed.endpoints(), nowNanos);
    }
    if (message instanceof RoutingMessage.NodeCountChanged changed) {
      return new RoutingEvent.RetryLimitsChanged(retryBound.limitsOf(changed.nodes()));
    }
    if (message instanceof RoutingMessage.Configured configured) {
      return new RoutingEvent.Configured(configured.snapshot().services(), nowNanos);
    }
    return message instanceof RoutingMessage.Tick
        ? new RoutingEvent.Tick(nowNanos)
        : toHostEvent(message, nowNanos);
  }

  /** Converts a message about a host's own backend server. */
  private static RoutingEvent toHostEvent(RoutingMessage message, long nowNanos) {
    if (message instanceof RoutingMessage.HostedRequestEnded hostedEnd) {
      return new RoutingEvent.HostedRequestEnded(
          hostedEnd.server(),
          HostedRequest.of(hostedEnd.head()),
          hostedEnd.failure(),
          hostedEnd.status(),
          hostedEnd.serverMicros(),
          nowNanos,
          hostedEnd.reply());
    }
    if (message instanceof RoutingMessage.HostedRequestStarted started) {
      return new RoutingEvent.HostedRequestStarted(
          started.server(),
          started.head().service(),
          HostedRequest.of(started.head()),
          started.ingress(),
          nowNanos);
    }
    if (message instanceof RoutingMessage.LoadReplied replied) {
      return new RoutingEvent.LoadReplied(replied.host(), replied.reply(), nowNanos);
    }
    if (message instanceof RoutingMessage.LoadQueriesTimedOut timedOut) {
      return new RoutingEvent.LoadQueriesTimedOut(timedOut.placement(), timedOut.round(), nowNanos);
    }
    RoutingMessage.HostReported reported = (RoutingMessage.HostReported) message;
    HostReportMessage report = reported.message();
    return new RoutingEvent.HostReported(
        report.server(), report.service(), reported.host(), report.report(), nowNanos);
  }

  private static void handle(
      RoutingEffect effect,
      Member self,
      TaskContext<RoutingMessage> context,
      LoadQueries loadQueries) {
    if (loadQueries.handle(effect)) {
      return;
    }
    if (effect instanceof RoutingEffect.Placed placed) {
      logPlacement(placed);
      loadQueries.count(placed);
      placed.reply().send(placed.result());
      return;
    }
    if (effect instanceof RoutingEffect.ReplyWithReport reply) {
      reply.reply().send(reply.report());
      return;
    }
    if (effect instanceof RoutingEffect.NotifyIngresses notification) {
      notifyIngresses(notification, self, context);
      return;
    }
    if (effect instanceof RoutingEffect.Ejected ejected) {
      logger.atWarning().log(
          "event=ejection service=%s server=%s host=%s reason=%s strikes=%d backoffMillis=%d"
              + " ejected=%d",
          ejected.endpoint().service(),
          ejected.endpoint().server(),
          ejected.endpoint().host(),
          ejected.reason().label(),
          ejected.consecutiveEjections(),
          (ejected.firstTrialNanos() - context.clock().nowNanos()) / 1_000_000,
          ejected.ejectedServers());
      return;
    }
    RoutingEffect.Readmitted readmitted = (RoutingEffect.Readmitted) effect;
    logger.atInfo().log(
        "event=readmission service=%s server=%s ejected=%d",
        readmitted.endpoint().service(),
        readmitted.endpoint().server(),
        readmitted.ejectedServers());
  }

  private static void notifyIngresses(
      RoutingEffect.NotifyIngresses notification,
      Member self,
      TaskContext<RoutingMessage> context) {
    // An idle server is no fault, and its notices are frequent.
    Level level = notification.report().isUnhealthy() ? Level.WARNING : Level.FINE;
    logger.at(level).log(
        "event=host-verdict service=%s server=%s report=%s nodes=%d",
        notification.service(),
        notification.server(),
        notification.report(),
        notification.nodes().size());
    HostReportMessage report =
        new HostReportMessage(notification.server(), notification.service(), notification.report());
    if (notification.nodes().contains(self.node())) {
      context.self().send(new RoutingMessage.HostReported(self.node(), report));
    }
    Address<PeerServiceMessage> peers = context.registry().find(PeerService.NAME);
    notification
        .nodes()
        .remove(self.node())
        .forEach(node -> peers.send(new PeerServiceMessage.Send(node, report)));
  }

  private static void logPlacement(RoutingEffect.Placed placed) {
    logger.atInfo().log(
        "event=placement request=%s attempt=%d service=%s server=%s reason=%s known=%d ejected=%d"
            + " eligible=%d queries=%d replies=%d domainLeft=%b predictedWaitMicros=%d"
            + " offer=%s",
        placed.head().requestId(),
        placed.head().attempt(),
        placed.head().service(),
        placed
            .result()
            .fold(
                failure -> "none/" + failure.code().number(),
                placement -> placement.endpoint().server().value()),
        placed.basis().reason(),
        placed.basis().known(),
        placed.basis().ejected(),
        placed.basis().eligible(),
        placed.basis().queries().queries(),
        placed.basis().queries().replies(),
        placed.basis().queries().domainLeft(),
        placed.basis().queries().predictedWaitMicros(),
        placed.basis().queries().offer().map(ServerOffer::name).getOrElse("NONE"));
  }
}
