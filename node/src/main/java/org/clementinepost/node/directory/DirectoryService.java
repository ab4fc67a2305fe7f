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

/** Runs the directory decision: as host, as directory node and as ingress. */
public final class DirectoryService {
  /** The name by which the service is found. */
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

  /** Defines the service on a node. */
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
    Behaviour<DirectoryMessage> deciding =
        Behaviour.ofDecision(
            DirectoryState.of(self), this::toEvent, new DirectoryPolicy(), this::handle);
    return message -> {
      if (!(message instanceof DirectoryMessage.NodeStopping)) {
        deciding.receive(message);
      }
    };
  }

  private DirectoryEvent toEvent(DirectoryMessage message) {
    long nowMillis = context.clock().nowMillis();
    if (message instanceof DirectoryMessage.Lookup wanted) {
      return new DirectoryEvent.Lookup(wanted.service(), wanted.reply(), nowMillis);
    }
    if (message instanceof DirectoryMessage.LocalEndpointsChanged hosted) {
      return new DirectoryEvent.LocalEndpointsChanged(hosted.endpoints(), nowMillis);
    }
    if (message instanceof DirectoryMessage.MembersChanged members) {
      return new DirectoryEvent.MembersChanged(members.others(), nowMillis);
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
    if (effect instanceof DirectoryEffect.UpdateRouting tell) {
      logger.atInfo().log(
          "event=endpoints service=%s endpoints=%d", tell.service(), tell.endpoints().size());
      routing.send(new RoutingMessage.EndpointsChanged(tell.service(), tell.endpoints()));
      return;
    }
    DirectoryEffect.CompleteLookup answer = (DirectoryEffect.CompleteLookup) effect;
    answer.reply().send(answer.found());
  }

  private void send(DirectoryEffect.Send send) {
    if (send.to().equals(self.node())) {
      context.self().send(new DirectoryMessage.FromPeer(self.node(), send.message()));
      return;
    }
    peers.send(new PeerServiceMessage.Send(send.to(), send.message()));
  }
}
