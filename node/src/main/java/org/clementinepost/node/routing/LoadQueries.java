package org.clementinepost.node.routing;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.metrics.MetricsMessage;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.policy.routing.QueryBasis;
import org.clementinepost.policy.routing.RoutingEffect;

/** Sends the load queries of this node, and counts what comes of them. */
final class LoadQueries {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TIMER_PREFIX = "load-queries-";

  private final NodeId self;
  private final boolean enabled;
  private final TaskContext<RoutingMessage> context;
  private final Address<HostMessage> host;
  private final Address<PeerServiceMessage> peers;
  private final Address<MetricsMessage> metrics;

  LoadQueries(NodeId self, TaskContext<RoutingMessage> context, LoadSettings load) {
    this.self = self;
    this.enabled = load.queries();
    this.context = context;
    this.host = context.registry().find(HostService.NAME);
    this.peers = context.registry().find(PeerService.NAME);
    this.metrics = context.registry().find(MetricsService.NAME);
  }

  /** Performs an effect of load queries; returns false for any other effect. */
  boolean handle(RoutingEffect effect) {
    if (effect instanceof RoutingEffect.QueryLoad query) {
      send(query);
      return true;
    }
    if (effect instanceof RoutingEffect.ScheduleQueryTimeout timeout) {
      context.sendAfter(
          TIMER_PREFIX + timeout.placement() + '-' + timeout.round(),
          timeout.delayMillis(),
          new RoutingMessage.LoadQueriesTimedOut(timeout.placement(), timeout.round()));
      return true;
    }
    if (effect instanceof RoutingEffect.LoadReplyIgnored ignored) {
      onIgnored(ignored);
      return true;
    }
    return false;
  }

  private void send(RoutingEffect.QueryLoad query) {
    if (!query.host().equals(self)) {
      peers.send(new PeerServiceMessage.Send(query.host(), query.query()));
      return;
    }
    long number = query.query().queryNumber();
    host.send(
        new HostMessage.ReportLoad(
            query.query(),
            report ->
                context
                    .self()
                    .send(
                        new RoutingMessage.LoadReplied(
                            self, new LoadPeerMessage.Reply(number, report)))));
  }

  private void onIgnored(RoutingEffect.LoadReplyIgnored ignored) {
    boolean late = ignored.cause() == RoutingEffect.LoadReplyIgnored.Cause.NO_OPEN_QUERY;
    logger.at(late ? Level.FINE : Level.WARNING).log(
        "event=load-reply-ignored code=%d host=%s query=%d cause=%s",
        ResultCode.PEER_PROTOCOL.number(), ignored.host(), ignored.queryNumber(), ignored.cause());
    count("routing.load-replies-ignored", 1);
  }

  /** Counts an attempt that its host admitted. */
  void countAdmitted() {
    if (enabled) {
      count("routing.attempts-admitted", 1);
    }
  }

  /** Counts a placement, and the queries that it took. */
  void count(RoutingEffect.Placed placed) {
    if (!enabled) {
      return;
    }
    QueryBasis basis = placed.basis().queries();
    count("routing.placements", 1);
    count("routing.load-queries", basis.queries());
    count("routing.load-queries-unanswered", basis.queries() - basis.replies());
    if (basis.domainLeft()) {
      count("routing.placements-in-other-domain", 1);
      metrics.send(new MetricsMessage.RecordDuration("routing.wait-saved", basis.savedMicros()));
    }
  }

  private void count(String name, int times) {
    if (times > 0) {
      metrics.send(new MetricsMessage.AddToCounter(name, times));
    }
  }
}
