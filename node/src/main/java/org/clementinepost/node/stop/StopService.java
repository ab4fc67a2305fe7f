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

/** Leads the node through a planned stop. */
public final class StopService implements Behaviour<StopMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<StopMessage> NAME = ServiceName.of("stop", StopMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TIMER = "stop";
  private static final String IN_HAND_METRIC = "stop.in-hand.";

  private final TaskContext<StopMessage> context;
  private final NodeId self;
  private final Registry registry;
  private final Address<MetricsMessage> metrics;
  private final StopPolicy policy;
  private StopState state = StopState.serving();
  private Vector<Reply<Boolean>> waiting = Vector.empty();

  private StopService(TaskContext<StopMessage> context, NodeSettings settings) {
    this.context = context;
    this.self = settings.node();
    this.registry = context.registry();
    this.metrics = registry.find(MetricsService.NAME);
    this.policy = new StopPolicy(settings.farewellMillis(), settings.stopGraceMillis());
  }

  /** Defines the service. */
  public static ServiceDefinition<StopMessage> definition(NodeSettings settings) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new StopService(context, settings));
  }

  @Override
  public void receive(StopMessage message) {
    if (message instanceof StopMessage.Stop stop) {
      waiting = waiting.append(stop.whole());
      decide(new StopEvent.Asked(context.clock().nowNanos()));
      return;
    }
    if (message instanceof StopMessage.InHand told) {
      metrics.send(new MetricsMessage.Measured(IN_HAND_METRIC + told.part().label(), told.count()));
      decide(new StopEvent.Told(told.part(), told.count()));
      return;
    }
    decide(new StopEvent.Due(context.clock().nowNanos()));
  }

  private void decide(StopEvent event) {
    Step<StopState, StopEffect> step = policy.decide(state, event);
    state = step.state();
    step.effects().forEach(this::handle);
  }

  private void handle(StopEffect effect) {
    if (effect instanceof StopEffect.TakeLeave) {
      takeLeave();
      return;
    }
    if (effect instanceof StopEffect.Finish) {
      logger.atInfo().log("event=node-finishing node=%s %s", self, fields(state.inHand()));
      registry.find(EdgeService.NAME).send(new EdgeMessage.Finish(listener(StopPart.CALLERS)));
      return;
    }
    if (effect instanceof StopEffect.Wake wake) {
      context.sendAfter(TIMER, wake.delayMillis(), new StopMessage.Due());
      return;
    }
    go((StopEffect.Go) effect);
  }

  private void takeLeave() {
    logger.atInfo().log("event=node-stopping node=%s", self);
    registry.find(OperatorService.NAME).send(new OperatorMessage.Stopping());
    registry.find(MembershipService.NAME).send(new MembershipMessage.Leave());
    registry.find(DirectoryService.NAME).send(new DirectoryMessage.Leave());
    registry.find(QuotaService.NAME).send(new QuotaServiceMessage.NodeStopping());
    registry.find(EdgeService.NAME).send(new EdgeMessage.Farewell());
    registry.find(HostService.NAME).send(new HostMessage.Stop(listener(StopPart.ADMISSIONS)));
    registry.find(PeerService.NAME).send(new PeerServiceMessage.Drain(listener(StopPart.STREAMS)));
  }

  private IntConsumer listener(StopPart part) {
    return count -> context.self().send(new StopMessage.InHand(part, count));
  }

  private void go(StopEffect.Go go) {
    boolean whole = go.whole();
    logger.atInfo().log("event=node-stopped node=%s whole=%s %s", self, whole, fields(go.inHand()));
    waiting.forEach(reply -> reply.send(whole));
    waiting = Vector.empty();
  }

  /** What each part has in hand; a part that has not told of itself is unknown. */
  private static String fields(Map<StopPart, Integer> inHand) {
    return Stream.of(StopPart.values())
        .map(
            part -> part.label() + "=" + inHand.get(part).map(String::valueOf).getOrElse("unknown"))
        .collect(Collectors.joining(" "));
  }
}
