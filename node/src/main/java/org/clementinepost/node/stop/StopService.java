package org.clementinepost.node.stop;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.Step;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.directory.DirectoryMessage;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.edge.EdgeMessage;
import org.clementinepost.node.edge.EdgeService;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.metrics.MetricsMessage;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.operator.OperatorMessage;
import org.clementinepost.node.operator.OperatorService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.node.quota.QuotaServiceMessage;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.policy.stop.StopEffect;
import org.clementinepost.policy.stop.StopEvent;
import org.clementinepost.policy.stop.StopPart;
import org.clementinepost.policy.stop.StopPolicy;
import org.clementinepost.policy.stop.StopState;

/** Stops the node gracefully: runs {@link StopPolicy} and carries out its effects. */
public final class StopService implements Behaviour<StopMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<StopMessage> NAME = ServiceName.of("stop", StopMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TIMER = "stop";
  private static final String IN_FLIGHT_METRIC = "stop.in-hand.";

  private final TaskContext<StopMessage> context;
  private final NodeId self;
  private final Registry registry;
  private final Address<MetricsMessage> metrics;
  private final StopPolicy policy;
  private StopState state = StopState.serving();
  private Vector<Reply<Boolean>> pendingReplies = Vector.empty();

  private StopService(TaskContext<StopMessage> context, NodeSettings settings) {
    this.context = context;
    this.self = settings.node();
    this.registry = context.registry();
    this.metrics = registry.find(MetricsService.NAME);
    this.policy = new StopPolicy(settings.farewellMillis(), settings.stopGraceMillis());
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<StopMessage> definition(NodeSettings settings) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new StopService(context, settings));
  }

  @Override
  public void receive(StopMessage message) {
    if (message instanceof StopMessage.Stop stop) {
      pendingReplies = pendingReplies.append(stop.reply());
      decide(new StopEvent.StopRequested(context.clock().nowNanos()));
      return;
    }
    if (message instanceof StopMessage.InFlightReported report) {
      metrics.send(
          new MetricsMessage.Measured(IN_FLIGHT_METRIC + report.part().label(), report.count()));
      decide(new StopEvent.InFlightReported(report.part(), report.count()));
      return;
    }
    decide(new StopEvent.TimerFired(context.clock().nowNanos()));
  }

  private void decide(StopEvent event) {
    Step<StopState, StopEffect> step = policy.decide(state, event);
    state = step.state();
    step.effects().forEach(this::handle);
  }

  private void handle(StopEffect effect) {
    if (effect instanceof StopEffect.AnnounceStop) {
      announceStop();
      return;
    }
    if (effect instanceof StopEffect.StopAccepting) {
      logger.atInfo().log(
          "event=node-finishing node=%s %s", self, inFlightFields(state.inFlight()));
      registry
          .find(EdgeService.NAME)
          .send(new EdgeMessage.Finish(inFlightListener(StopPart.CALLERS)));
      return;
    }
    if (effect instanceof StopEffect.ScheduleTimer schedule) {
      context.sendAfter(TIMER, schedule.delayMillis(), new StopMessage.TimerFired());
      return;
    }
    completeStop((StopEffect.CompleteStop) effect);
  }

  private void announceStop() {
    logger.atInfo().log("event=node-stopping node=%s", self);
    registry.find(OperatorService.NAME).send(new OperatorMessage.Stopping());
    registry.find(MembershipService.NAME).send(new MembershipMessage.Leave());
    registry.find(DirectoryService.NAME).send(new DirectoryMessage.NodeStopping());
    registry.find(QuotaService.NAME).send(new QuotaServiceMessage.NodeStopping());
    registry.find(EdgeService.NAME).send(new EdgeMessage.Farewell());
    registry
        .find(HostService.NAME)
        .send(new HostMessage.Stop(inFlightListener(StopPart.ADMISSIONS)));
    registry
        .find(PeerService.NAME)
        .send(new PeerServiceMessage.Drain(inFlightListener(StopPart.STREAMS)));
  }

  private IntConsumer inFlightListener(StopPart part) {
    return count -> context.self().send(new StopMessage.InFlightReported(part, count));
  }

  private void completeStop(StopEffect.CompleteStop stop) {
    boolean clean = stop.clean();
    logger.atInfo().log(
        "event=node-stopped node=%s whole=%s %s", self, clean, inFlightFields(stop.inFlight()));
    pendingReplies.forEach(reply -> reply.send(clean));
    pendingReplies = Vector.empty();
  }

  /** Formats the requests in flight of each part; "unknown" for a part without a report. */
  private static String inFlightFields(Map<StopPart, Integer> inFlight) {
    return Stream.of(StopPart.values())
        .map(
            part ->
                part.label() + "=" + inFlight.get(part).map(String::valueOf).getOrElse("unknown"))
        .collect(Collectors.joining(" "));
  }
}
