package org.clementinepost.node.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelOption;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.SpawnedTask;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.membership.MembershipMessage;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.wire.PeerCodec;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpResources;
import reactor.netty.tcp.TcpClient;

/**
 * Owns the port for other nodes and manages the connections to them.
 *
 * <p>A node opens the streams of its own requests on connections that it has dialed; a message that
 * belongs to no stream may use any connection to its destination. Messages wait while a connection
 * is being dialed. The persistent links that membership requests are redialed when they go down;
 * all other connections are dialed on demand.
 */
public final class PeerService implements Behaviour<PeerServiceMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<PeerServiceMessage> NAME =
      ServiceName.of("peer", PeerServiceMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(1);
  private static final long TICK_MILLIS = 250;
  private static final int MAX_QUEUED_MESSAGES = 1_024;

  /** Delay before an unreachable node is dialed again on demand. */
  private static final long UNREACHABLE_REDIAL_MILLIS = 300;

  private record OutboundConnection(Member member, SpawnedTask<ConnectionMessage> task) {}

  private final TaskContext<PeerServiceMessage> context;
  private final Member self;
  private final ControlReceiver controlReceiver;
  private final Address<MembershipMessage> membership;
  private final PeerCodec codec = PeerCodec.standard();
  private final DisposableServer server;
  private Map<NodeId, Member> members = HashMap.empty();
  private PersistentLinks links = PersistentLinks.none();
  private Map<NodeId, OutboundConnection> outbound = HashMap.empty();
  private Map<NodeId, Vector<ConnectionMessage>> messagesAwaitingDial = HashMap.empty();
  private Map<NodeId, Long> lastUnreachableMillis = HashMap.empty();
  private Map<Address<ConnectionMessage>, SpawnedTask<ConnectionMessage>> unresponsive =
      HashMap.empty();
  private Map<Address<ConnectionMessage>, SpawnedTask<ConnectionMessage>> accepted =
      HashMap.empty();
  private Map<NodeId, Address<ConnectionMessage>> acceptedByNode = HashMap.empty();
  private final InFlightStreams inFlightStreams = new InFlightStreams();

  private PeerService(
      TaskContext<PeerServiceMessage> context,
      PeerListener listener,
      ControlReceiver controlReceiver) {
    this.context = context;
    this.self = listener.self();
    this.controlReceiver = controlReceiver;
    this.server = listener.server();
    this.membership = context.registry().find(MembershipService.NAME);
    listener.setConnectionHandler(
        connection -> context.self().send(new PeerServiceMessage.Accepted(connection)));
    membership.send(
        new MembershipMessage.Subscribe(
            others -> context.self().send(new PeerServiceMessage.MembersChanged(others))));
  }

  /** Returns the definition of the service for a node whose port is open. */
  public static ServiceDefinition<PeerServiceMessage> definition(
      PeerListener listener, Function<Registry, ControlReceiver> controlReceiver) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> new PeerService(context, listener, controlReceiver.apply(context.registry())));
  }

  @Override
  public void receive(PeerServiceMessage message) {
    if (message instanceof PeerServiceMessage.Exchange exchange) {
      openStream(exchange);
      return;
    }
    if (message instanceof PeerServiceMessage.Send send) {
      send(send.to(), findMember(send.to()), new ConnectionMessage.Send(send.message()));
      return;
    }
    if (message instanceof PeerServiceMessage.SendToMember send) {
      Member to = send.to();
      send(to.node(), Option.some(to), new ConnectionMessage.Send(send.message()));
      return;
    }
    if (message instanceof PeerServiceMessage.Probe probe) {
      Member to = probe.to();
      sendOnOutbound(to.node(), Option.some(to), new ConnectionMessage.Probe(probe.reachable()));
      return;
    }
    if (message instanceof PeerServiceMessage.Accepted accept) {
      onAccepted(spawn(accept.connection(), Option.none()));
      return;
    }
    if (message instanceof PeerServiceMessage.MembersChanged changed) {
      onMembersChanged(changed.others());
      return;
    }
    if (message instanceof PeerServiceMessage.SetLinks set) {
      setLinks(set.members());
      return;
    }
    receiveConnectionEvent(message);
  }

  private void receiveConnectionEvent(PeerServiceMessage message) {
    if (message instanceof PeerServiceMessage.Drain drain) {
      inFlightStreams.setListener(drain.inFlightListener());
      accepted.values().forEach(this::drain);
      inFlightStreams.notifyIfChanged();
      return;
    }
    if (message instanceof PeerServiceMessage.InFlightReported report) {
      inFlightStreams.update(report.connection(), report.streams());
      return;
    }
    if (message instanceof PeerServiceMessage.DialCompleted result) {
      onDialCompleted(result);
      return;
    }
    if (message instanceof PeerServiceMessage.HelloReceived hello) {
      onHelloReceived(hello);
      return;
    }
    if (message instanceof PeerServiceMessage.ConnectionUnresponsive event) {
      onUnresponsive(event.connection());
      return;
    }
    if (message instanceof PeerServiceMessage.ConnectionClosed event) {
      onClosed(event.connection());
      return;
    }
    links.membersToDial(context.clock().nowMillis()).forEach(this::dialLink);
  }

  private void onAccepted(SpawnedTask<ConnectionMessage> task) {
    accepted = accepted.put(task.address(), task);
    if (inFlightStreams.hasListener()) {
      drain(task);
      inFlightStreams.notifyIfChanged();
    }
  }

  private void drain(SpawnedTask<ConnectionMessage> task) {
    Address<ConnectionMessage> connection = task.address();
    inFlightStreams.addConnection(connection);
    connection.send(
        new ConnectionMessage.Drain(
            streams ->
                context.self().send(new PeerServiceMessage.InFlightReported(connection, streams))));
  }

  private Option<Member> findMember(NodeId node) {
    return members.get(node).orElse(() -> links.member(node));
  }

  private void openStream(PeerServiceMessage.Exchange exchange) {
    sendOnOutbound(
        exchange.to(),
        findMember(exchange.to()),
        new ConnectionMessage.Open(
            exchange.server(),
            exchange.head(),
            exchange.body(),
            exchange.cancelled(),
            exchange.reply()));
  }

  /** Sends on the outbound connection, or on one that the peer has dialed if there is none. */
  private void send(NodeId to, Option<Member> member, ConnectionMessage message) {
    Option<Address<ConnectionMessage>> fromPeer =
        outbound.containsKey(to) ? Option.none() : acceptedByNode.get(to);
    if (fromPeer.exists(connection -> connection.send(message).accepted())) {
      return;
    }
    sendOnOutbound(to, member, message);
  }

  private void sendOnOutbound(NodeId to, Option<Member> member, ConnectionMessage message) {
    Option<OutboundConnection> connection = outbound.get(to);
    if (connection.isDefined()) {
      if (!connection.get().task().address().send(message).accepted()) {
        failUndeliverable(message);
      }
      return;
    }
    Option<Vector<ConnectionMessage>> waiting = messagesAwaitingDial.get(to);
    if (member.isEmpty() || waiting.exists(messages -> messages.size() >= MAX_QUEUED_MESSAGES)) {
      failUndeliverable(message);
      return;
    }
    boolean unreachable = lastUnreachableMillis.containsKey(to);
    if (unreachable) {
      failUndeliverable(message);
    }
    Vector<ConnectionMessage> queued = unreachable ? Vector.empty() : Vector.of(message);
    if (waiting.isEmpty() && !mayDial(to)) {
      return;
    }
    messagesAwaitingDial =
        messagesAwaitingDial.put(to, waiting.getOrElse(Vector.empty()).appendAll(queued));
    if (waiting.isEmpty()) {
      dial(member.get());
    }
  }

  /**
   * Whether a node may be dialed. A message to an unreachable node fails without waiting for the
   * dial; the connection serves later messages.
   */
  private boolean mayDial(NodeId node) {
    return lastUnreachableMillis
        .get(node)
        .forAll(
            lastMillis -> context.clock().nowMillis() - lastMillis >= UNREACHABLE_REDIAL_MILLIS);
  }

  private void markUnreachable(NodeId node) {
    lastUnreachableMillis = lastUnreachableMillis.put(node, context.clock().nowMillis());
  }

  private static void failUndeliverable(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Open open) {
      open.reply().send(Either.left(Failure.of(ResultCode.PEER_UNREACHABLE)));
    }
    if (message instanceof ConnectionMessage.Probe probe) {
      probe.reachable().send(false);
    }
  }

  private void dialLink(Member member) {
    if (!outbound.containsKey(member.node()) && !messagesAwaitingDial.containsKey(member.node())) {
      messagesAwaitingDial =
          messagesAwaitingDial.put(
              member.node(), Vector.of(new ConnectionMessage.SetPersistent(true)));
      dial(member);
    }
  }

  private void dial(Member member) {
    TcpClient.create()
        .runOn(HttpResources.get())
        .host(member.peerAddress().host())
        .port(member.peerAddress().port())
        .option(ChannelOption.TCP_NODELAY, true)
        .doOnConnected(TcpTransport::addFraming)
        .connect()
        .timeout(DIAL_TIMEOUT)
        .subscribe(
            connection -> reportDialResult(member, Either.right(connection)),
            error ->
                reportDialResult(
                    member,
                    Either.left(
                        Failure.of(
                            ResultCode.PEER_UNREACHABLE, String.valueOf(error.getMessage())))));
  }

  private void reportDialResult(Member member, Either<Failure, ? extends Connection> connection) {
    context
        .self()
        .send(
            new PeerServiceMessage.DialCompleted(
                member, connection.map(established -> established)));
  }

  private void onDialCompleted(PeerServiceMessage.DialCompleted result) {
    NodeId to = result.to().node();
    Vector<ConnectionMessage> waiting = messagesAwaitingDial.getOrElse(to, Vector.empty());
    messagesAwaitingDial = messagesAwaitingDial.remove(to);
    if (result.connection().isLeft()) {
      logger.atInfo().log(
          "event=peer-unreachable peer=%s detail=%s", to, result.connection().getLeft().detail());
      waiting.forEach(PeerService::failUndeliverable);
      markUnreachable(to);
      markLinkDown(result.to());
      return;
    }
    lastUnreachableMillis = lastUnreachableMillis.remove(to);
    SpawnedTask<ConnectionMessage> connection = spawn(result.connection().get(), Option.some(to));
    outbound = outbound.put(to, new OutboundConnection(result.to(), connection));
    if (links.contains(to)) {
      connection.address().send(new ConnectionMessage.SetPersistent(true));
    }
    waiting.forEach(connection.address()::send);
  }

  private SpawnedTask<ConnectionMessage> spawn(Connection connection, Option<NodeId> dialed) {
    return context
        .spawner()
        .spawn(
            new ServiceDefinition<>(
                ServiceName.of("peer-connection", ConnectionMessage.class),
                ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
                PeerConnection.factory(
                    self,
                    dialed,
                    codec,
                    controlReceiver,
                    address -> TcpTransport.attach(connection, address))));
  }

  private void onHelloReceived(PeerServiceMessage.HelloReceived hello) {
    if (accepted.containsKey(hello.connection())) {
      acceptedByNode = acceptedByNode.put(hello.peer(), hello.connection());
      return;
    }
    if (links.contains(hello.peer())) {
      links = links.withLinkUp(hello.peer());
      membership.send(new MembershipMessage.LinkUp(hello.peer()));
    }
  }

  /** Updates the live members, and closes connections to processes that have been replaced. */
  private void onMembersChanged(Vector<Member> others) {
    Map<NodeId, Member> next = others.toMap(Member::node, member -> member);
    lastUnreachableMillis =
        lastUnreachableMillis.filterKeys(node -> members.get(node).equals(next.get(node)));
    members = next;
    outbound
        .valuesIterator()
        .filter(connection -> isReplaced(connection.member()))
        .forEach(connection -> connection.task().stop().dispose());
  }

  private boolean isReplaced(Member dialedMember) {
    return members
        .get(dialedMember.node())
        .exists(member -> member.incarnation() > dialedMember.incarnation());
  }

  private void setLinks(Vector<Member> targets) {
    if (links.links().isEmpty()) {
      scheduleLinkChecks();
    }
    PersistentLinks next = links.withMembers(targets, context.clock().nowMillis());
    links
        .links()
        .keySet()
        .diff(next.links().keySet())
        .forEach(node -> setPersistent(node, new ConnectionMessage.SetPersistent(false)));
    next.links()
        .keySet()
        .diff(links.links().keySet())
        .forEach(node -> setPersistent(node, new ConnectionMessage.SetPersistent(true)));
    links = next;
    links.membersToDial(context.clock().nowMillis()).forEach(this::dialLink);
  }

  private void scheduleLinkChecks() {
    context.sendEvery(NAME.text(), TICK_MILLIS, TICK_MILLIS, new PeerServiceMessage.Tick());
  }

  private void setPersistent(NodeId node, ConnectionMessage.SetPersistent message) {
    outbound.get(node).forEach(connection -> connection.task().address().send(message));
  }

  /**
   * Stops using an unresponsive connection for new messages. It stays open, since requests that may
   * be running can still get a response on it.
   */
  private void onUnresponsive(Address<ConnectionMessage> connection) {
    for (OutboundConnection lost :
        outbound.values().find(candidate -> candidate.task().address() == connection)) {
      outbound = outbound.remove(lost.member().node());
      unresponsive = unresponsive.put(connection, lost.task());
      markUnreachable(lost.member().node());
      markLinkDown(lost.member());
    }
  }

  private void onClosed(Address<ConnectionMessage> connection) {
    accepted.get(connection).forEach(task -> task.stop().dispose());
    accepted = accepted.remove(connection);
    inFlightStreams.removeConnection(connection);
    unresponsive.get(connection).forEach(task -> task.stop().dispose());
    unresponsive = unresponsive.remove(connection);
    acceptedByNode = acceptedByNode.filterValues(address -> address != connection);
    Option<OutboundConnection> closed =
        outbound.values().find(candidate -> candidate.task().address() == connection);
    for (OutboundConnection lost : closed) {
      lost.task().stop().dispose();
      outbound = outbound.remove(lost.member().node());
      markLinkDown(lost.member());
    }
  }

  /**
   * Marks a link as down, unless the lost connection was to another incarnation of the node, which
   * says nothing about the current one.
   */
  private void markLinkDown(Member lost) {
    NodeId node = lost.node();
    boolean replaced =
        links.member(node).exists(member -> member.incarnation() != lost.incarnation());
    if (links.contains(node) && !replaced) {
      links = links.withLinkDown(node, context.clock().nowMillis(), context.random().nextLong());
      membership.send(new MembershipMessage.LinkDown(node));
    }
  }

  @Override
  public void stop() {
    server.dispose();
    outbound.values().forEach(connection -> connection.task().stop().dispose());
    unresponsive.values().forEach(task -> task.stop().dispose());
    accepted.values().forEach(task -> task.stop().dispose());
  }
}
