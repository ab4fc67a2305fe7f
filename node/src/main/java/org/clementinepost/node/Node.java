package org.clementinepost.node;

import io.vavr.control.Option;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.api.peer.FeedPeerMessage;
import org.clementinepost.api.peer.HostReportMessage;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.api.peer.QuotaPeerMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.node.access.AccessService;
import org.clementinepost.node.announce.AnnounceMessage;
import org.clementinepost.node.announce.AnnounceService;
import org.clementinepost.node.announce.StartupHealthCheckService;
import org.clementinepost.node.directory.DirectoryMessage;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.edge.EdgeMessage;
import org.clementinepost.node.edge.EdgeService;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.node.feed.FeedService;
import org.clementinepost.node.feed.FeedServiceMessage;
import org.clementinepost.node.health.HealthMessage;
import org.clementinepost.node.health.HealthService;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.operator.OperatorMessage;
import org.clementinepost.node.operator.OperatorService;
import org.clementinepost.node.peer.ControlReceiver;
import org.clementinepost.node.peer.EventLoopScheduler;
import org.clementinepost.node.peer.PeerListener;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.node.quota.QuotaServiceMessage;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.node.stop.StopMessage;
import org.clementinepost.node.stop.StopService;
import reactor.core.publisher.Mono;

/** A running node: starts the kernel with the node's services, and stops them. */
public final class Node {
  private final Kernel kernel;
  private final Member self;

  private Node(Kernel kernel, Member self) {
    this.kernel = kernel;
    this.self = self;
  }

  /**
   * Starts a node.
   *
   * @param platformAdapter the parts that depend on the platform
   * @param incarnation a number that increases at each start of a node of this name
   */
  static Node start(NodeSettings settings, PlatformAdapter platformAdapter, long incarnation) {
    PeerListener listener =
        PeerListener.open(
            settings.peer(),
            address -> new Member(settings.node(), incarnation, address, settings.domain()));
    Kernel kernel = startKernel(settings, platformAdapter, listener, incarnation);
    return new Node(kernel, listener.self());
  }

  private static Kernel startKernel(
      NodeSettings settings, PlatformAdapter platformAdapter, PeerListener listener, long seed) {
    Member self = listener.self();
    Kernel.Builder builder =
        Kernel.builder()
            .scheduler(EventLoopScheduler.shared())
            .seed(seed)
            .service(MetricsService.definition());
    platformAdapter.services().apply(self).forEach(builder::service);
    return builder
        .service(RoutingService.definition(self, settings.retryBound(), settings.load()))
        .service(HostService.definition(self, settings.load()))
        .service(
            ExchangeService.definition(settings.connectionsPerServer(), platformAdapter.dialect()))
        .service(PeerService.definition(listener, Node::controlReceiver))
        .service(AccessService.definition(settings.keyWithdrawalMillis()))
        .service(
            AnnounceService.definition(settings.announce(), platformAdapter.announcementProtocol()))
        .services(startupHealthCheck(settings, platformAdapter))
        .service(
            OperatorService.definition(
                self, settings.operator(), platformAdapter.dialect().readinessPath()))
        .service(EdgeService.definition(self, settings, platformAdapter.dialect()))
        .service(StopService.definition(settings))
        .service(HealthService.definition())
        .start();
  }

  private static Option<ServiceDefinition<?>> startupHealthCheck(
      NodeSettings settings, PlatformAdapter platformAdapter) {
    return settings
        .localServer()
        .flatMap(
            address ->
                settings
                    .localService()
                    .flatMap(
                        service ->
                            platformAdapter
                                .announcementProtocol()
                                .healthResponseReader()
                                .map(
                                    reader ->
                                        StartupHealthCheckService.definition(
                                            address, service, reader))));
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
    if (message instanceof QuotaPeerMessage quota) {
      registry.find(QuotaService.NAME).send(new QuotaServiceMessage.FromPeer(from, quota));
    }
    if (message instanceof FeedPeerMessage feed) {
      FeedService.find(registry, feed.table())
          .forEach(service -> service.send(new FeedServiceMessage.FromPeer(from, feed)));
    }
    if (message instanceof HostReportMessage report) {
      registry.find(RoutingService.NAME).send(new RoutingMessage.HostReported(from, report));
    }
    if (message instanceof LoadPeerMessage.Query query) {
      replyWithLoad(registry, from, query);
    }
    if (message instanceof LoadPeerMessage.Reply reply) {
      registry.find(RoutingService.NAME).send(new RoutingMessage.LoadReplied(from, reply));
    }
  }

  private static void replyWithLoad(Registry registry, NodeId from, LoadPeerMessage.Query query) {
    Address<PeerServiceMessage> peers = registry.find(PeerService.NAME);
    registry
        .find(HostService.NAME)
        .send(
            new HostMessage.ReportLoad(
                query,
                report ->
                    peers.send(
                        new PeerServiceMessage.Send(
                            from, new LoadPeerMessage.Reply(query.queryNumber(), report)))));
  }

  /** Returns this node's entry in the list of members. */
  public Member self() {
    return self;
  }

  /** Returns the ports that the node listens on. */
  public Mono<NodePorts> ports() {
    Mono<Integer> ingress = ask(kernel.find(EdgeService.NAME), EdgeMessage.GetPort::new);
    Mono<Integer> operator = ask(kernel.find(OperatorService.NAME), OperatorMessage.GetPort::new);
    Mono<Integer> announce = ask(kernel.find(AnnounceService.NAME), AnnounceMessage.GetPort::new);
    return Mono.zip(ingress, operator, announce)
        .map(
            ports ->
                new NodePorts(
                    self.node().value(),
                    ports.getT1(),
                    ports.getT2(),
                    ports.getT3(),
                    self.peerAddress().port()));
  }

  private static <M, R> Mono<R> ask(Address<M> address, Function<Reply<R>, M> message) {
    return Mono.create(sink -> address.send(message.apply(sink::success)));
  }

  /** Returns the failure after which the process should end; empty for as long as there is none. */
  public Mono<Failure> failure() {
    return ask(kernel.find(HealthService.NAME), HealthMessage.AwaitFailure::new);
  }

  /** Applies the one setting that can change while the node runs: {@code localService}. */
  void reload(NodeSettings settings) {
    kernel.find(EdgeService.NAME).send(new EdgeMessage.SettingsReloaded(settings));
  }

  /**
   * Stops the node gracefully: completes the requests in flight, then stops all services.
   *
   * <p>The wait is bounded by the platform's grace period; requests still in flight shortly before
   * its end are aborted.
   */
  public void stop() {
    Mono.<Boolean>create(
            sink -> {
              StopMessage stop = new StopMessage.Stop(sink::success);
              if (!kernel.find(StopService.NAME).send(stop).accepted()) {
                sink.success();
              }
            })
        .block();
    kernel.dispose();
  }
}
