package org.clementinepost.node.directory;

import com.google.common.flogger.FluentLogger;
import org.clementinepost.api.Member;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.policy.directory.DirectoryEffect;
import org.clementinepost.policy.directory.DirectoryEvent;
import org.clementinepost.policy.directory.DirectoryPolicy;
import org.clementinepost.policy.directory.DirectoryState;

/**
 * Finds the backend servers of services in a directory that the nodes share: runs {@link
 * DirectoryPolicy} as a task.
 *
 * <p>This node publishes its own backend servers, serves as the directory node of some services,
 * and subscribes to the services that its requests need.
 */
public final class DirectoryService {
  /** The name under which the service is registered. */
  public static final ServiceName<DirectoryMessage> NAME =
      ServiceName.of("directory", DirectoryMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;

  private final TaskContext<DirectoryMessage> context;
  private final Member self;
  private final Address<RoutingMessage> routing;
  private final Address<PeerServiceMessage> peers;

  private DirectoryService(TaskContext<DirectoryMessage> context, Member self) {
    this.context = context;
    this.self = self;
    this.routing = context.registry().find(RoutingService.NAME);
    this.peers = context.registry().find(PeerService.NAME);
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<DirectoryMessage> definition(Member self) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> new DirectoryService(context, self).start());
  }

  private Behaviour<DirectoryMessage> start() {
    context.sendEvery(NAME.text(), TICK_MILLIS, TICK_MILLIS, new DirectoryMessage.Tick());
    context
        .registry()
        .find(MembershipService.NAME)
        .send(
            new MembershipMessage.Subscribe(
                members -> context.self().send(new DirectoryMessage.MembersChanged(members))));
    Behaviour<DirectoryMessage> decision =
        Behaviour.ofDecision(
            DirectoryState.of(self), this::toEvent, new DirectoryPolicy(), this::handle);
    return message -> {
      if (!(message instanceof DirectoryMessage.NodeStopping)) {
        decision.receive(message);
      }
    };
  }

  private DirectoryEvent toEvent(DirectoryMessage message) {
    long nowMillis = context.clock().nowMillis();
    if (message instanceof DirectoryMessage.Lookup lookup) {
      return new DirectoryEvent.Lookup(lookup.service(), lookup.reply(), nowMillis);
    }
    if (message instanceof DirectoryMessage.LocalEndpointsChanged changed) {
      return new DirectoryEvent.LocalEndpointsChanged(changed.endpoints(), nowMillis);
    }
    if (message instanceof DirectoryMessage.MembersChanged changed) {
      return new DirectoryEvent.MembersChanged(changed.others(), nowMillis);
    }
    if (message instanceof DirectoryMessage.FromPeer fromPeer) {
      return new DirectoryEvent.Received(fromPeer.from(), fromPeer.message(), nowMillis);
    }
    return new DirectoryEvent.Tick(nowMillis, context.random().nextLong());
  }

  private void handle(DirectoryEffect effect) {
    if (effect instanceof DirectoryEffect.Send send) {
      send(send);
      return;
    }
    if (effect instanceof DirectoryEffect.UpdateRouting update) {
      logger.atInfo().log(
          "event=endpoints service=%s endpoints=%d", update.service(), update.endpoints().size());
      routing.send(new RoutingMessage.EndpointsChanged(update.service(), update.endpoints()));
      return;
    }
    DirectoryEffect.CompleteLookup lookup = (DirectoryEffect.CompleteLookup) effect;
    lookup.reply().send(lookup.found());
  }

  private void send(DirectoryEffect.Send send) {
    if (send.to().equals(self.node())) {
      context.self().send(new DirectoryMessage.FromPeer(self.node(), send.message()));
      return;
    }
    peers.send(new PeerServiceMessage.Send(send.to(), send.message()));
  }
}
