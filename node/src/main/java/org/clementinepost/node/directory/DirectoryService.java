package org.clementinepost.node.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.kernel.TimerService;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;

/** Tells the other nodes of this node's backend servers, and learns of theirs. */
public final class DirectoryService implements Behaviour<DirectoryMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<DirectoryMessage> NAME =
      ServiceName.of("directory", DirectoryMessage.class);

  private static final long PUBLISH_MILLIS = 500;
  private static final long SILENCE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private record Heard(DirectoryPeerMessage.Published published, long heardNanos) {}

  private final TaskContext<DirectoryMessage> context;
  private final Member self;
  private final Address<RoutingMessage> routing;
  private final Address<PeerServiceMessage> peers;
  private Vector<Member> others = Vector.empty();
  private Map<NodeId, Heard> heard = HashMap.empty();
  private DirectoryPeerMessage.Published own;
  private Map<ServiceId, Vector<Endpoint>> told = HashMap.empty();

  private DirectoryService(TaskContext<DirectoryMessage> context, Member self) {
    this.context = context;
    this.self = self;
    this.routing = context.registry().find(RoutingService.NAME);
    this.peers = context.registry().find(PeerService.NAME);
    this.own =
        new DirectoryPeerMessage.Published(self.node(), self.incarnation(), 0, Vector.empty());
    context
        .registry()
        .find(TimerService.NAME)
        .send(
            new TimerService.Every(
                NAME.text(),
                PUBLISH_MILLIS,
                PUBLISH_MILLIS,
                () -> context.self().send(new DirectoryMessage.Tick())));
    context
        .registry()
        .find(MembershipService.NAME)
        .send(
            new MembershipMessage.Subscribe(
                members -> context.self().send(new DirectoryMessage.Members(members))));
  }

  /** Defines the service on a node. */
  public static ServiceDefinition<DirectoryMessage> definition(Member self) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new DirectoryService(context, self));
  }

  @Override
  public void receive(DirectoryMessage message) {
    if (message instanceof DirectoryMessage.Hosted hosted) {
      own =
          new DirectoryPeerMessage.Published(
              self.node(), self.incarnation(), own.sequence() + 1, hosted.endpoints());
      publish();
    }
    if (message instanceof DirectoryMessage.Members members) {
      others = members.others();
      publish();
    }
    if (message instanceof DirectoryMessage.FromPeer fromPeer) {
      hear((DirectoryPeerMessage.Published) fromPeer.message());
    }
    if (message instanceof DirectoryMessage.Tick) {
      publish();
      forgetSilent();
    }
    tellRouting();
  }

  private void publish() {
    others.forEach(member -> peers.send(new PeerServiceMessage.Send(member.node(), own)));
  }

  private void hear(DirectoryPeerMessage.Published published) {
    boolean older =
        heard
            .get(published.host())
            .map(Heard::published)
            .exists(
                known ->
                    known.incarnation() > published.incarnation()
                        || (known.incarnation() == published.incarnation()
                            && known.sequence() > published.sequence()));
    if (!older) {
      heard = heard.put(published.host(), new Heard(published, context.clock().nowNanos()));
    }
  }

  private void forgetSilent() {
    long nowNanos = context.clock().nowNanos();
    heard = heard.filterValues(entry -> nowNanos - entry.heardNanos() < SILENCE_LIMIT_NANOS);
  }

  private void tellRouting() {
    Map<ServiceId, Vector<Endpoint>> next =
        heard
            .values()
            .flatMap(entry -> entry.published().endpoints())
            .toVector()
            .appendAll(own.endpoints())
            .sortBy(Endpoint::server)
            .groupBy(Endpoint::service);
    if (next.equals(told)) {
      return;
    }
    next.forEach(
        (service, endpoints) ->
            routing.send(new RoutingMessage.EndpointsChanged(service, endpoints)));
    told.keySet()
        .diff(next.keySet())
        .forEach(
            service -> routing.send(new RoutingMessage.EndpointsChanged(service, Vector.empty())));
    told = next;
  }
}
