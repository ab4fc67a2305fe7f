package org.clementinepost.node.peer;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntConsumer;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.LinkMessage;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.api.peer.StreamMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.kernel.TimerService;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.wire.PeerCodec;

/**
 * The task of one connection between two nodes; it alone writes to the socket.
 *
 * <p>A connection that carries streams or is persistent becomes unresponsive when nothing arrives
 * for {@link #UNRESPONSIVE_NANOS}: it gets no new streams, and its idempotent requests fail so that
 * they can be retried elsewhere. Other requests may still get a response until it is closed after
 * {@link #SILENCE_TIMEOUT_NANOS}. Any other connection isn't pinged, and is closed after an idle
 * timeout.
 *
 * <p>A node that answers at the address of another one has taken over that address. Its connection
 * gets no new streams either, and its answers are no sign of life of the other node.
 */
final class PeerConnection implements Behaviour<ConnectionMessage> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final NodeId UNKNOWN_PEER = new NodeId("");
  private static final long TICK_MILLIS = 250;
  private static final long IDLE_TICK_MILLIS = 30_000;
  private static final int TICKS_PER_KEEPALIVE_PING = 4;
  private static final long UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
  private static final long INITIATOR_IDLE_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final long ACCEPTOR_IDLE_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(15);

  private final TaskContext<ConnectionMessage> context;
  private final PeerCodec codec;
  private final FrameTransport transport;
  private final Address<PeerServiceMessage> peerService;
  private final ControlReceiver controlReceiver;
  private final ConnectionStreams streams;
  private final SentMessageCounts sentMessages;
  private final String timerName;
  private final long idleTimeoutNanos;
  private final Option<NodeId> dialed;
  private Option<NodeId> peer = Option.none();
  private Vector<Reply<Boolean>> pendingProbes = Vector.empty();
  private Option<IntConsumer> inFlightListener = Option.none();
  private int reportedInFlight = -1;
  private SentFrames sentFrames = SentFrames.none();
  private boolean persistent;
  private long lastReceivedNanos;
  private long lastSentNanos;
  private long monitoredSinceNanos;
  private long ticks;
  private long pingsSent;
  private boolean monitored;
  private boolean unresponsive;
  private boolean otherNode;
  private boolean closed;

  private PeerConnection(
      TaskContext<ConnectionMessage> context,
      Member self,
      Option<NodeId> dialed,
      PeerCodec codec,
      ControlReceiver controlReceiver,
      Function<Address<ConnectionMessage>, FrameTransport> transport) {
    this.context = context;
    this.dialed = dialed;
    this.codec = codec;
    this.controlReceiver = controlReceiver;
    this.peerService = context.registry().find(PeerService.NAME);
    this.transport = transport.apply(context.self());
    this.sentMessages = new SentMessageCounts(context.registry().find(MetricsService.NAME));
    this.streams =
        dialed.isDefined()
            ? new OutboundStreams(context.self(), this::write, context.clock())
            : new InboundStreams(
                context.self(),
                this::write,
                context.registry().find(ExchangeService.NAME),
                context.registry().find(RoutingService.NAME),
                context.clock(),
                () -> peer.getOrElse(UNKNOWN_PEER));
    this.idleTimeoutNanos =
        dialed.isDefined() ? INITIATOR_IDLE_TIMEOUT_NANOS : ACCEPTOR_IDLE_TIMEOUT_NANOS;
    this.lastReceivedNanos = context.clock().nowNanos();
    this.lastSentNanos = lastReceivedNanos;
    this.monitoredSinceNanos = lastReceivedNanos;
    this.timerName = "peer-connection-" + System.identityHashCode(this);
    write(new LinkMessage.Hello(self.node(), self.incarnation()));
    scheduleTick(IDLE_TICK_MILLIS);
  }

  /**
   * Returns the behaviour of a connection.
   *
   * @param dialed the node that this node has dialed; none on a connection that it has accepted
   */
  static Function<TaskContext<ConnectionMessage>, Behaviour<ConnectionMessage>> factory(
      Member self,
      Option<NodeId> dialed,
      PeerCodec codec,
      ControlReceiver controlReceiver,
      Function<Address<ConnectionMessage>, FrameTransport> transport) {
    return context -> new PeerConnection(context, self, dialed, codec, controlReceiver, transport);
  }

  @Override
  public void receive(ConnectionMessage message) {
    if (closed) {
      reject(message);
      return;
    }
    handle(message);
    if (!closed) {
      inFlightListener.forEach(this::reportInFlight);
    }
    if (!monitored && needsMonitoring() && !closed) {
      monitored = true;
      monitoredSinceNanos = context.clock().nowNanos();
      scheduleTick(TICK_MILLIS);
    }
  }

  private boolean needsMonitoring() {
    return persistent
        || !streams.isEmpty()
        || (inFlightListener.isDefined() && !sentFrames.delivered());
  }

  /**
   * Reports the streams in flight; a response counts until the peer is known to have received it.
   */
  private void reportInFlight(IntConsumer listener) {
    if (streams.isEmpty() && sentFrames.needsPing()) {
      ping();
      sentFrames = sentFrames.onPingSent(pingsSent);
    }
    int inFlight = sentFrames.delivered() ? streams.size() : Math.max(1, streams.size());
    if (inFlight != reportedInFlight) {
      reportedInFlight = inFlight;
      listener.accept(inFlight);
    }
  }

  /**
   * Starts to report the streams in flight. Frames that were sent longer ago than the silence
   * timeout count as received, since the connection is still open.
   */
  private void drain(IntConsumer listener) {
    inFlightListener = Option.some(listener);
    if (context.clock().nowNanos() - sentFrames.lastSentNanos() > SILENCE_TIMEOUT_NANOS) {
      sentFrames = SentFrames.none();
    }
  }

  private void ping() {
    pingsSent++;
    write(new LinkMessage.Ping(pingsSent));
  }

  private void scheduleTick(long delayMillis) {
    context.sendAfter(timerName, delayMillis, new ConnectionMessage.Tick());
  }

  private void handle(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.FrameReceived frame) {
      lastReceivedNanos = context.clock().nowNanos();
      codec.decode(frame.content().bytes()).fold(this::protocolFailure, this::receive);
      completeProbes(!otherNode);
      return;
    }
    if (message instanceof ConnectionMessage.Disconnected) {
      close();
      return;
    }
    if (message instanceof ConnectionMessage.Tick) {
      tick();
      return;
    }
    if (message instanceof ConnectionMessage.Send send) {
      write(send.message());
      return;
    }
    if (message instanceof ConnectionMessage.SetPersistent set) {
      setPersistent(set.persistent());
      return;
    }
    if (message instanceof ConnectionMessage.Probe probe) {
      pendingProbes = pendingProbes.append(probe.reachable());
      ping();
      return;
    }
    if (message instanceof ConnectionMessage.Drain drain) {
      drain(drain.inFlightListener());
      return;
    }
    streams.receiveLocal(message);
  }

  /**
   * Sets whether the connection is persistent. The peer's hello may have arrived earlier, so the
   * peer service is notified again.
   */
  private void setPersistent(boolean value) {
    boolean becomesPersistent = value && !persistent;
    persistent = value;
    if (becomesPersistent) {
      peer.forEach(
          node -> peerService.send(new PeerServiceMessage.HelloReceived(node, context.self())));
    }
  }

  private void completeProbes(boolean reachable) {
    pendingProbes.forEach(probe -> probe.send(reachable));
    pendingProbes = Vector.empty();
  }

  /** Rejects a message to a closed connection; its request has not been sent. */
  private static void reject(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Open open) {
      open.reply().send(Either.left(Failure.of(ResultCode.PEER_UNREACHABLE)));
    }
    if (message instanceof ConnectionMessage.ExchangeCompleted completed) {
      completed.result().forEach(response -> response.discard());
    }
    if (message instanceof ConnectionMessage.Probe probe) {
      probe.reachable().send(false);
    }
  }

  private Void receive(PeerMessage message) {
    if (message instanceof StreamMessage stream) {
      streams.receive(stream);
      return null;
    }
    if (message instanceof LinkMessage.Ping ping) {
      write(new LinkMessage.Pong(ping.sequence()));
      return null;
    }
    if (message instanceof LinkMessage.Pong pong) {
      sentFrames = sentFrames.onPong(pong.sequence());
      return null;
    }
    if (message instanceof LinkMessage.Hello hello) {
      peer = Option.some(hello.node());
      if (dialed.exists(expected -> !expected.equals(hello.node()))) {
        onOtherNode(hello.node());
        return null;
      }
      peerService.send(new PeerServiceMessage.HelloReceived(hello.node(), context.self()));
      return null;
    }
    peer.forEach(from -> controlReceiver.receive(from, message));
    return null;
  }

  private Void protocolFailure(Failure failure) {
    logger.atWarning().log("event=peer-protocol peer=%s detail=%s", peer, failure.detail());
    close();
    return null;
  }

  private void tick() {
    sentMessages.flush();
    long nowNanos = context.clock().nowNanos();
    monitored = needsMonitoring();
    if (!monitored) {
      scheduleTick(IDLE_TICK_MILLIS);
      closeIfIdle(unresponsive ? 0 : idleTimeoutNanos, nowNanos);
      return;
    }
    scheduleTick(TICK_MILLIS);
    long silenceNanos = nowNanos - Math.max(lastReceivedNanos, monitoredSinceNanos);
    if (silenceNanos > SILENCE_TIMEOUT_NANOS) {
      logger.atWarning().log("event=peer-silent peer=%s", peer);
      close();
      return;
    }
    if (silenceNanos > UNRESPONSIVE_NANOS && !unresponsive) {
      markUnresponsive();
    }
    ticks++;
    boolean quiet = silenceNanos >= TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
    if ((quiet && !streams.isEmpty()) || ticks % TICKS_PER_KEEPALIVE_PING == 0) {
      ping();
    }
  }

  private void onOtherNode(NodeId node) {
    otherNode = true;
    unresponsive = true;
    logger.atWarning().log("event=peer-replaced peer=%s found=%s", dialed.get(), node);
    peerService.send(new PeerServiceMessage.ConnectionUnresponsive(context.self()));
  }

  private void markUnresponsive() {
    unresponsive = true;
    logger.atWarning().log("event=peer-doubted peer=%s", peer);
    peerService.send(new PeerServiceMessage.ConnectionUnresponsive(context.self()));
    streams.failIdempotent(Failure.of(ResultCode.PEER_LOST, peer.map(NodeId::value).getOrElse("")));
  }

  private void closeIfIdle(long limitNanos, long nowNanos) {
    if (nowNanos - Math.max(lastReceivedNanos, lastSentNanos) > limitNanos) {
      close();
    }
  }

  private void write(PeerMessage message) {
    lastSentNanos = context.clock().nowNanos();
    if (message instanceof StreamMessage) {
      sentFrames = sentFrames.onFrameSent(lastSentNanos);
    }
    sentMessages.count(message);
    transport.send(codec.encode(message));
  }

  private void close() {
    if (closed) {
      return;
    }
    closed = true;
    sentMessages.flush();
    transport.close();
    context.registry().find(TimerService.NAME).send(new TimerService.Cancel(timerName));
    completeProbes(false);
    if (!streams.isEmpty()) {
      logger.atWarning().log("event=peer-lost peer=%s streams=%d", peer, streams.size());
    }
    streams.failAll(Failure.of(ResultCode.PEER_LOST, peer.map(NodeId::value).getOrElse("")));
    peerService.send(new PeerServiceMessage.ConnectionClosed(context.self()));
  }

  @Override
  public void stop() {
    close();
  }
}
