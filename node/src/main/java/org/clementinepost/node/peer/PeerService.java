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
import reactor.netty.tcp.TcpClient;

/**
 * Owns the port for other nodes and knows the connection to each of them.
 *
 * <p>A node opens the streams of its own requests on connections that it has dialed; a message that
 * belongs to no stream takes any connection to its node. What is sent while a connection is being
 * made waits for it.
 */
public final class PeerService implements Behaviour<PeerServiceMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<PeerServiceMessage> NAME =
      ServiceName.of("peer", PeerServiceMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_WAITING_MESSAGES = 1_024;

  private final TaskContext<PeerServiceMessage> context;
  private final Member self;
  private final ControlReceiver control;
  private final PeerCodec codec = PeerCodec.standard();
  private final DisposableServer server;
  private Map<NodeId, Member> members = HashMap.empty();
  private Map<NodeId, SpawnedTask<ConnectionMessage>> dialed = HashMap.empty();
  private Map<NodeId, Vector<ConnectionMessage>> dialing = HashMap.empty();
  private Vector<SpawnedTask<ConnectionMessage>> accepted = Vector.empty();

  private PeerService(
      TaskContext<PeerServiceMessage> context, PeerListener listener, ControlReceiver control) {
    this.context = context;
    this.self = listener.self();
    this.control = control;
    this.server = listener.server();
    listener.attach(connection -> context.self().send(new PeerServiceMessage.Accepted(connection)));
    context
        .registry()
        .find(MembershipService.NAME)
        .send(
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
      deliver(
          exchange.to(),
          new ConnectionMessage.Open(
              exchange.server(),
              exchange.head(),
              exchange.body(),
              exchange.cancelled(),
              exchange.reply()));
      return;
    }
    if (message instanceof PeerServiceMessage.Send send) {
      deliver(send.to(), new ConnectionMessage.Send(send.message()));
      return;
    }
    if (message instanceof PeerServiceMessage.Members changed) {
      members = changed.others().toMap(Member::node, member -> member);
      return;
    }
    if (message instanceof PeerServiceMessage.Accepted arrived) {
      accepted = accepted.append(spawn(arrived.connection(), false));
      return;
    }
    if (message instanceof PeerServiceMessage.Dialed result) {
      dialed(result);
      return;
    }
    if (message instanceof PeerServiceMessage.Ended ended) {
      ended(ended.connection());
    }
  }

  private void deliver(NodeId to, ConnectionMessage message) {
    Option<SpawnedTask<ConnectionMessage>> connection = dialed.get(to);
    if (connection.isDefined()) {
      if (!connection.get().address().send(message).accepted()) {
        undeliverable(message);
      }
      return;
    }
    Option<Member> member = members.get(to);
    Option<Vector<ConnectionMessage>> waiting = dialing.get(to);
    if (member.isEmpty() || waiting.exists(all -> all.size() >= MAX_WAITING_MESSAGES)) {
      undeliverable(message);
      return;
    }
    dialing = dialing.put(to, waiting.getOrElse(Vector.empty()).append(message));
    if (waiting.isEmpty()) {
      dial(member.get());
    }
  }

  private static void undeliverable(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Open open) {
      open.reply().send(Either.left(Failure.of(ResultCode.PEER_UNREACHABLE)));
    }
  }

  private void dial(Member member) {
    TcpClient.create()
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
    context.self().send(new PeerServiceMessage.Dialed(member.node(), connection.map(open -> open)));
  }

  private void dialed(PeerServiceMessage.Dialed result) {
    Vector<ConnectionMessage> waiting = dialing.getOrElse(result.to(), Vector.empty());
    dialing = dialing.remove(result.to());
    if (result.connection().isLeft()) {
      logger.atWarning().log(
          "event=peer-unreachable peer=%s detail=%s",
          result.to(), result.connection().getLeft().detail());
      waiting.forEach(PeerService::undeliverable);
      return;
    }
    SpawnedTask<ConnectionMessage> connection = spawn(result.connection().get(), true);
    dialed = dialed.put(result.to(), connection);
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

  private void ended(Address<ConnectionMessage> connection) {
    dialed
        .values()
        .filter(task -> task.address() == connection)
        .forEach(task -> task.stop().dispose());
    accepted.filter(task -> task.address() == connection).forEach(task -> task.stop().dispose());
    dialed = dialed.filterValues(task -> task.address() != connection);
    accepted = accepted.filter(task -> task.address() != connection);
  }

  @Override
  public void stop() {
    server.disposeNow(Duration.ofMillis(100));
    dialed.values().forEach(task -> task.stop().dispose());
    accepted.forEach(task -> task.stop().dispose());
  }
}
