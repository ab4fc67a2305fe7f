package org.clementinepost.node.routing;

import com.google.common.flogger.FluentLogger;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.policy.routing.RoutingEffect;
import org.clementinepost.policy.routing.RoutingEvent;
import org.clementinepost.policy.routing.RoutingPolicy;
import org.clementinepost.policy.routing.RoutingState;

/** Runs the routing decision on the requests of this node. */
public final class RoutingService {
  /** The name by which the service is found. */
  public static final ServiceName<RoutingMessage> NAME =
      ServiceName.of("routing", RoutingMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private RoutingService() {}

  /** Defines the service. */
  public static ServiceDefinition<RoutingMessage> definition() {
    return new ServiceDefinition<>(
        NAME, ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES, RoutingService::start);
  }

  private static Behaviour<RoutingMessage> start(TaskContext<RoutingMessage> context) {
    return Behaviour.deciding(
        RoutingState.empty(),
        message -> event(message, context),
        new RoutingPolicy(),
        RoutingService::handle);
  }

  private static RoutingEvent event(RoutingMessage message, TaskContext<RoutingMessage> context) {
    if (message instanceof RoutingMessage.Place place) {
      return new RoutingEvent.Place(
          place.head(),
          place.tried(),
          context.random().nextLong(),
          context.clock().nowNanos(),
          place.reply());
    }
    if (message instanceof RoutingMessage.Ended ended) {
      return new RoutingEvent.Ended(
          ended.endpoint(),
          ended.failure(),
          ended.status(),
          ended.serverMicros(),
          ended.totalMicros(),
          context.clock().nowNanos());
    }
    RoutingMessage.EndpointsChanged changed = (RoutingMessage.EndpointsChanged) message;
    return new RoutingEvent.EndpointsChanged(changed.service(), changed.endpoints());
  }

  private static void handle(RoutingEffect effect) {
    RoutingEffect.Placed placed = (RoutingEffect.Placed) effect;
    logger.atInfo().log(
        "event=placement request=%s attempt=%d service=%s server=%s reason=%s",
        placed.head().requestId(),
        placed.head().attempt(),
        placed.head().service(),
        placed.answer().fold(failure -> "none/" + failure.code().number(), e -> e.server().value()),
        placed.reason());
    placed.reply().send(placed.answer());
  }
}
