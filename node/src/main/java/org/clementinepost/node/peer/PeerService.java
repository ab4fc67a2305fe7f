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
 * Owns the port for other nodes and knows the connection to each of them.
 *
 * <p>A node opens the streams of its own requests on connections that it has dialed; a message that
 * belongs to no stream takes any connection to its node. What is sent while a connection is being
 * made waits for it. The links that the membership asks for are dialed again when they go down; all
 * others are made when they are needed.
 */
public final class PeerService implements Behaviour<PeerServiceMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<PeerServiceMessage> NAME =
      ServiceName.of("peer", PeerServiceMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(1);
  private static final long TICK_MILLIS = 250;
  private static final int MAX_WAITING_MESSAGES = 1_024;

  /** The pause between two attempts to reach a node that was not reached. */
  private static final long AWAY_DIAL_GAP_MILLIS = 300;

  private record Dial(Member member, SpawnedTask<ConnectionMessage> task) {}

  private final TaskContext<PeerServiceMessage> context;
  private final Member self;
  private final ControlReceiver control;
  private final Address<MembershipMessage> membership;
  private final PeerCodec codec = PeerCodec.standard();
  private final DisposableServer server;
  private Map<NodeId, Member> members = HashMap.empty();
  private KeptLinks kept = KeptLinks.none();
  private Map<NodeId, Dial> dialed = HashMap.empty();
  private Map<NodeId, Vector<ConnectionMessage>> dialing = HashMap.empty();
  private Map<NodeId, Long> awayMillis = HashMap.empty();
  private Map<Address<ConnectionMessage>, SpawnedTask<ConnectionMessage>> doubted = HashMap.empty();
  private Map<Address<ConnectionMessage>, SpawnedTask<ConnectionMessage>> accepted =
      HashMap.empty();
  private Map<NodeId, Address<ConnectionMessage>> greeted = HashMap.empty();
  private final StreamsInHand inHand = new StreamsInHand();

  private PeerService(
      TaskContext<PeerServiceMessage> context, PeerListener listener, ControlReceiver control) {
    this.context = context;
    this.self = listener.self();
    this.control = control;
    this.server = listener.server();
    this.membership = context.registry().find(MembershipService.NAME);
    listener.attach(connection -> context.self().send(new PeerServiceMessage.Accepted(connection)));
    membership.send(
        new MembershipMessage.Subscribe(
            others -> context.self().send(new PeerServiceMessage.Members(others))));
  }

  /** Defines the service on a node whose port is open. */
  public static ServiceDefinition<PeerServiceMessage> definition(
      PeerListener listener, Function<Registry, ControlReceiver> control) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> new PeerService(context, listener, control.apply(context.registry())));
  }

  @Override
  public void receive(PeerServiceMessage message) {
    if (message instanceof PeerServiceMessage.Exchange exchange) {
      exchange(exchange);
      return;
    }
    if (message instanceof PeerServiceMessage.Send send) {
      send(send.to(), address(send.to()), new ConnectionMessage.Send(send.message()));
      return;
    }
    if (message instanceof PeerServiceMessage.Contact contact) {
      Member to = contact.to();
      send(to.node(), Option.some(to), new ConnectionMessage.Send(contact.message()));
      return;
    }
    if (message instanceof PeerServiceMessage.Probe probe) {
      Member to = probe.to();
      deliver(to.node(), Option.some(to), new ConnectionMessage.Probe(probe.alive()));
      return;
    }
    if (message instanceof PeerServiceMessage.Accepted arrived) {
      accepted(spawn(arrived.connection(), false));
      return;
    }
    if (message instanceof PeerServiceMessage.Members changed) {
      members(changed.others());
      return;
    }
    if (message instanceof PeerServiceMessage.Links links) {
      links(links.to());
      return;
    }
    connectionChanged(message);
  }

  private void connectionChanged(PeerServiceMessage message) {
    if (message instanceof PeerServiceMessage.Drain drain) {
      inHand.tell(drain.inHand());
      accepted.values().forEach(this::drain);
      inHand.tellIfChanged();
      return;
    }
    if (message instanceof PeerServiceMessage.InHand told) {
      inHand.changed(told.connection(), told.streams());
      return;
    }
    if (message instanceof PeerServiceMessage.Dialed result) {
      dialed(result);
      return;
    }
    if (message instanceof PeerServiceMessage.Greeted greeting) {
      greeted(greeting);
      return;
    }
    if (message instanceof PeerServiceMessage.Doubted found) {
      doubted(found.connection());
      return;
    }
    if (message instanceof PeerServiceMessage.Ended ended) {
      ended(ended.connection());
      return;
    }
    kept.due(context.clock().nowMillis()).forEach(this::dialKept);
  }

  private void accepted(SpawnedTask<ConnectionMessage> task) {
    accepted = accepted.put(task.address(), task);
    if (inHand.isTold()) {
      drain(task);
      inHand.tellIfChanged();
    }
  }

  private void drain(SpawnedTask<ConnectionMessage> task) {
    Address<ConnectionMessage> connection = task.address();
    inHand.unknown(connection);
    connection.send(
        new ConnectionMessage.Drain(
            streams -> context.self().send(new PeerServiceMessage.InHand(connection, streams))));
  }

  private Option<Member> address(NodeId node) {
    return members.get(node).orElse(() -> kept.member(node));
  }

  private void exchange(PeerServiceMessage.Exchange exchange) {
    deliver(
        exchange.to(),
        address(exchange.to()),
        new ConnectionMessage.Open(
            exchange.server(),
            exchange.head(),
            exchange.body(),
            exchange.cancelled(),
            exchange.reply()));
  }

  /** Sends over a connection that the other side has dialed, when there is no own one. */
  private void send(NodeId to, Option<Member> member, ConnectionMessage message) {
    Option<Address<ConnectionMessage>> theirs =
        dialed.containsKey(to) ? Option.none() : greeted.get(to);
    if (theirs.exists(connection -> connection.send(message).accepted())) {
      return;
    }
    deliver(to, member, message);
  }

  private void deliver(NodeId to, Option<Member> member, ConnectionMessage message) {
    Option<Dial> connection = dialed.get(to);
    if (connection.isDefined()) {
      if (!connection.get().task().address().send(message).accepted()) {
        undeliverable(message);
      }
      return;
    }
    Option<Vector<ConnectionMessage>> waiting = dialing.get(to);
    if (member.isEmpty() || waiting.exists(all -> all.size() >= MAX_WAITING_MESSAGES)) {
      undeliverable(message);
      return;
    }
    boolean away = awayMillis.containsKey(to);
    if (away) {
      undeliverable(message);
    }
    Vector<ConnectionMessage> more = away ? Vector.empty() : Vector.of(message);
    if (waiting.isEmpty() && !mayDial(to)) {
      return;
    }
    dialing = dialing.put(to, waiting.getOrElse(Vector.empty()).appendAll(more));
    if (waiting.isEmpty()) {
      dial(member.get());
    }
  }

  /** Nobody waits for a node that was not reached of late; it is dialed for those that follow. */
  private boolean mayDial(NodeId node) {
    return awayMillis
        .get(node)
        .forAll(sinceMillis -> context.clock().nowMillis() - sinceMillis >= AWAY_DIAL_GAP_MILLIS);
  }

  private void away(NodeId node) {
    awayMillis = awayMillis.put(node, context.clock().nowMillis());
  }

  private static void undeliverable(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Open open) {
      open.reply().send(Either.left(Failure.of(ResultCode.PEER_UNREACHABLE)));
    }
    if (message instanceof ConnectionMessage.Probe probe) {
      probe.alive().send(false);
    }
  }

  private void dialKept(Member member) {
    if (!dialed.containsKey(member.node()) && !dialing.containsKey(member.node())) {
      dialing = dialing.put(member.node(), Vector.of(new ConnectionMessage.Keep(true)));
      dial(member);
    }
  }

  private void dial(Member member) {
    TcpClient.create()
        .runOn(HttpResources.get())
        .host(member.peerAddress().host())
        .port(member.peerAddress().port())
        .option(ChannelOption.TCP_NODELAY, true)
        .doOnConnected(TcpTransport::frame)
        .connect()
        .timeout(DIAL_TIMEOUT)
        .subscribe(
            connection -> dialEnded(member, Either.right(connection)),
            error ->
                dialEnded(
                    member,
                    Either.left(
                        Failure.of(
                            ResultCode.PEER_UNREACHABLE, String.valueOf(error.getMessage())))));
  }

  private void dialEnded(Member member, Either<Failure, ? extends Connection> connection) {
    context.self().send(new PeerServiceMessage.Dialed(member, connection.map(open -> open)));
  }

  private void dialed(PeerServiceMessage.Dialed result) {
    NodeId to = result.to().node();
    Vector<ConnectionMessage> waiting = dialing.getOrElse(to, Vector.empty());
    dialing = dialing.remove(to);
    if (result.connection().isLeft()) {
      logger.atInfo().log(
          "event=peer-unreachable peer=%s detail=%s", to, result.connection().getLeft().detail());
      waiting.forEach(PeerService::undeliverable);
      away(to);
      linkDown(result.to());
      return;
    }
    awayMillis = awayMillis.remove(to);
    SpawnedTask<ConnectionMessage> connection = spawn(result.connection().get(), true);
    dialed = dialed.put(to, new Dial(result.to(), connection));
    if (kept.contains(to)) {
      connection.address().send(new ConnectionMessage.Keep(true));
    }
    waiting.forEach(connection.address()::send);
  }

  private SpawnedTask<ConnectionMessage> spawn(Connection connection, boolean opener) {
    return context
        .spawner()
        .spawn(
            new ServiceDefinition<>(
                ServiceName.of("peer-connection", ConnectionMessage.class),
                ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
                PeerConnection.factory(
                    self,
                    opener,
                    codec,
                    control,
                    address -> TcpTransport.attach(connection, address))));
  }

  private void greeted(PeerServiceMessage.Greeted greeting) {
    if (accepted.containsKey(greeting.connection())) {
      greeted = greeted.put(greeting.peer(), greeting.connection());
      return;
    }
    if (kept.contains(greeting.peer())) {
      kept = kept.up(greeting.peer());
      membership.send(new MembershipMessage.LinkUp(greeting.peer()));
    }
  }

  /** A connection to a process that another one has replaced is of no use any more. */
  private void members(Vector<Member> others) {
    Map<NodeId, Member> next = others.toMap(Member::node, member -> member);
    awayMillis = awayMillis.filterKeys(node -> members.get(node).equals(next.get(node)));
    members = next;
    dialed
        .valuesIterator()
        .filter(dial -> isReplaced(dial.member()))
        .forEach(dial -> dial.task().stop().dispose());
  }

  private boolean isReplaced(Member dialedMember) {
    return members
        .get(dialedMember.node())
        .exists(member -> member.incarnation() > dialedMember.incarnation());
  }

  private void links(Vector<Member> to) {
    if (kept.links().isEmpty()) {
      lookAfterLinks();
    }
    KeptLinks next = kept.to(to, context.clock().nowMillis());
    kept.links()
        .keySet()
        .diff(next.links().keySet())
        .forEach(node -> keep(node, new ConnectionMessage.Keep(false)));
    next.links()
        .keySet()
        .diff(kept.links().keySet())
        .forEach(node -> keep(node, new ConnectionMessage.Keep(true)));
    kept = next;
    kept.due(context.clock().nowMillis()).forEach(this::dialKept);
  }

  private void lookAfterLinks() {
    context.sendEvery(NAME.text(), TICK_MILLIS, TICK_MILLIS, new PeerServiceMessage.Tick());
  }

  private void keep(NodeId node, ConnectionMessage.Keep message) {
    dialed.get(node).forEach(dial -> dial.task().address().send(message));
  }

  /** Requests of which nobody knows whether they run may still be answered on the connection. */
  private void doubted(Address<ConnectionMessage> connection) {
    for (Dial dial : dialed.values().find(dial -> dial.task().address() == connection)) {
      dialed = dialed.remove(dial.member().node());
      doubted = doubted.put(connection, dial.task());
      away(dial.member().node());
      linkDown(dial.member());
    }
  }

  private void ended(Address<ConnectionMessage> connection) {
    accepted.get(connection).forEach(task -> task.stop().dispose());
    accepted = accepted.remove(connection);
    inHand.ended(connection);
    doubted.get(connection).forEach(task -> task.stop().dispose());
    doubted = doubted.remove(connection);
    greeted = greeted.filterValues(address -> address != connection);
    Option<Dial> lost = dialed.values().find(dial -> dial.task().address() == connection);
    for (Dial dial : lost) {
      dial.task().stop().dispose();
      dialed = dialed.remove(dial.member().node());
      linkDown(dial.member());
    }
  }

  /** The end of a connection to a replaced process says nothing of the new one. */
  private void linkDown(Member lost) {
    NodeId node = lost.node();
    boolean replaced =
        kept.member(node).exists(member -> member.incarnation() != lost.incarnation());
    if (kept.contains(node) && !replaced) {
      kept = kept.down(node, context.clock().nowMillis(), context.random().nextLong());
      membership.send(new MembershipMessage.LinkDown(node));
    }
  }

  @Override
  public void stop() {
    server.dispose();
    dialed.values().forEach(dial -> dial.task().stop().dispose());
    doubted.values().forEach(task -> task.stop().dispose());
    accepted.values().forEach(task -> task.stop().dispose());
  }
}
