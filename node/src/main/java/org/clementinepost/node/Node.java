package org.clementinepost.node;

import java.time.Duration;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.node.access.AccessService;
import org.clementinepost.node.announce.AnnounceMessage;
import org.clementinepost.node.announce.AnnounceService;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.directory.DirectoryMessage;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.edge.EdgeMessage;
import org.clementinepost.node.edge.EdgeService;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.peer.ControlReceiver;
import org.clementinepost.node.peer.PeerListener;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.platform.PlatformService;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** One running node: its services, in the order in which they start. */
public final class Node implements Disposable {
  private static final Duration LEAVE_PAUSE = Duration.ofMillis(200);
  private static final Duration LEAVE_LIMIT = Duration.ofSeconds(2);

  private final Scheduler scheduler;
  private final Kernel kernel;
  private final Member self;

  private Node(Scheduler scheduler, Kernel kernel, Member self) {
    this.scheduler = scheduler;
    this.kernel = kernel;
    this.self = self;
  }

  /** Starts a node. */
  public static Node start(
      NodeSettings settings,
      ServiceDefinition<PlatformService.Message> platform,
      long incarnation) {
    PeerListener listener =
        PeerListener.open(
            settings.peer(),
            address -> new Member(settings.node(), incarnation, address, settings.domain()));
    Member self = listener.self();
    Scheduler scheduler =
        Schedulers.newParallel("node", Runtime.getRuntime().availableProcessors(), true);
    Kernel kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .seed(incarnation)
            .service(platform)
            .service(ConfigurationService.definition())
            .service(MembershipService.definition(self))
            .service(RoutingService.definition())
            .service(DirectoryService.definition(self))
            .service(HostService.definition(self))
            .service(ExchangeService.definition(settings.connectionsPerServer()))
            .service(PeerService.definition(listener, Node::controlReceiver))
            .service(AccessService.definition())
            .service(AnnounceService.definition(settings.announce()))
            .service(EdgeService.definition(self, settings.ingress()))
            .start();
    return new Node(scheduler, kernel, self);
  }

  private static ControlReceiver controlReceiver(Registry registry) {
    return (from, message) -> dispatch(registry, from, message);
  }

  private static void dispatch(Registry registry, NodeId from, PeerMessage message) {
    if (message instanceof MembershipPeerMessage membership) {
      registry.find(MembershipService.NAME).send(new MembershipMessage.FromPeer(from, membership));
    }
    if (message instanceof DirectoryPeerMessage directory) {
      registry.find(DirectoryService.NAME).send(new DirectoryMessage.FromPeer(from, directory));
    }
  }

  /** Tells the others that this node stops, and gives the message time to go out. */
  private Mono<Boolean> leave() {
    return Mono.<Boolean>create(
            sink ->
                kernel
                    .find(MembershipService.NAME)
                    .send(new MembershipMessage.Leave(sink::success)))
        .delayElement(LEAVE_PAUSE)
        .timeout(LEAVE_LIMIT, Mono.just(false))
        .onErrorReturn(false);
  }

  /** This node as the others know it. */
  public Member self() {
    return self;
  }

  /** The port for callers. */
  public Mono<Integer> ingressPort() {
    return Mono.create(
        sink -> kernel.find(EdgeService.NAME).send(new EdgeMessage.PortAsked(sink::success)));
  }

  /** The port for backend servers' announcements. */
  public Mono<Integer> announcePort() {
    return Mono.create(
        sink ->
            kernel.find(AnnounceService.NAME).send(new AnnounceMessage.PortAsked(sink::success)));
  }

  @Override
  public void dispose() {
    leave().block();
    kernel.dispose();
    scheduler.disposeGracefully().block(Duration.ofSeconds(5));
  }
}
