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
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.wire.PeerCodec;

/**
 * The task of one connection between two nodes; it alone writes to the socket.
 *
 * <p>A connection that carries streams or is kept falls into doubt when nothing arrives on it for
 * {@link #DOUBT_NANOS}: it takes no more streams, and gives back those that can be repeated
 * elsewhere. The others may still be answered, until {@link #SILENCE_LIMIT_NANOS} have passed. Any
 * other connection costs no message, and is closed when nothing was said on it for long.
 */
final class PeerConnection implements Behaviour<ConnectionMessage> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final NodeId UNKNOWN_PEER = new NodeId("");
  private static final long TICK_MILLIS = 250;
  private static final long IDLE_TICK_MILLIS = 30_000;
  private static final int TICKS_PER_KEPT_PING = 4;
  private static final long DOUBT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long SILENCE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
  private static final long OPENER_IDLE_LIMIT_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final long ACCEPTOR_IDLE_LIMIT_NANOS = TimeUnit.MINUTES.toNanos(15);

  private final TaskContext<ConnectionMessage> context;
  private final PeerCodec codec;
  private final FrameTransport transport;
  private final Address<PeerServiceMessage> owner;
  private final ControlReceiver control;
  private final StreamRole streams;
  private final String timerName;
  private final long idleLimitNanos;
  private Option<NodeId> peer = Option.none();
  private Vector<Reply<Boolean>> probes = Vector.empty();
  private Option<IntConsumer> drained = Option.none();
  private int toldInHand = -1;
  private SentAnswers sentAnswers = SentAnswers.none();
  private boolean kept;
  private long lastHeardNanos;
  private long lastSaidNanos;
  private long watchedSinceNanos;
  private long ticks;
  private long pings;
  private boolean watching;
  private boolean doubted;
  private boolean closed;

  private PeerConnection(
      TaskContext<ConnectionMessage> context,
      Member self,
      boolean opener,
      PeerCodec codec,
      ControlReceiver control,
      Function<Address<ConnectionMessage>, FrameTransport> transport) {
    this.context = context;
    this.codec = codec;
    this.control = control;
    this.owner = context.registry().find(PeerService.NAME);
    this.transport = transport.apply(context.self());
    this.streams =
        opener
            ? new OpenedStreams(context.self(), this::write, context.clock())
            : new ServedStreams(
                context.self(),
                this::write,
                context.registry().find(ExchangeService.NAME),
                context.registry().find(RoutingService.NAME),
                context.clock(),
                () -> peer.getOrElse(UNKNOWN_PEER));
    this.idleLimitNanos = opener ? OPENER_IDLE_LIMIT_NANOS : ACCEPTOR_IDLE_LIMIT_NANOS;
    this.lastHeardNanos = context.clock().nowNanos();
    this.lastSaidNanos = lastHeardNanos;
    this.watchedSinceNanos = lastHeardNanos;
    this.timerName = "peer-connection-" + System.identityHashCode(this);
    write(new LinkMessage.Hello(self.node(), self.incarnation()));
    tickAfter(IDLE_TICK_MILLIS);
  }

  static Function<TaskContext<ConnectionMessage>, Behaviour<ConnectionMessage>> factory(
      Member self,
      boolean opener,
      PeerCodec codec,
      ControlReceiver control,
      Function<Address<ConnectionMessage>, FrameTransport> transport) {
    return context -> new PeerConnection(context, self, opener, codec, control, transport);
  }

  @Override
  public void receive(ConnectionMessage message) {
    if (closed) {
      refuse(message);
      return;
    }
    take(message);
    if (!closed) {
      drained.forEach(this::tellInHand);
    }
    if (!watching && isWatched() && !closed) {
      watching = true;
      watchedSinceNanos = context.clock().nowNanos();
      tickAfter(TICK_MILLIS);
    }
  }

  private boolean isWatched() {
    return kept || !streams.isIdle() || (drained.isDefined() && !sentAnswers.arrived());
  }

  /** An answer is in hand until the other node is known to have it. */
  private void tellInHand(IntConsumer inHand) {
    if (streams.isIdle() && sentAnswers.unasked()) {
      ping();
      sentAnswers = sentAnswers.asked(pings);
    }
    int now = sentAnswers.arrived() ? streams.size() : Math.max(1, streams.size());
    if (now != toldInHand) {
      toldInHand = now;
      inHand.accept(now);
    }
  }

  /** What was sent long ago on a connection that is still open has arrived. */
  private void drain(IntConsumer inHand) {
    drained = Option.some(inHand);
    if (context.clock().nowNanos() - sentAnswers.sentNanos() > SILENCE_LIMIT_NANOS) {
      sentAnswers = SentAnswers.none();
    }
  }

  private void ping() {
    pings++;
    write(new LinkMessage.Ping(pings));
  }

  private void tickAfter(long delayMillis) {
    context.sendAfter(timerName, delayMillis, new ConnectionMessage.Tick());
  }

  private void take(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Frame frame) {
      lastHeardNanos = context.clock().nowNanos();
      answerProbes(true);
      codec.decode(frame.content().bytes()).fold(this::protocolFailure, this::receive);
      return;
    }
    if (message instanceof ConnectionMessage.Disconnected) {
      end();
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
    if (message instanceof ConnectionMessage.Keep keep) {
      keep(keep.wanted());
      return;
    }
    if (message instanceof ConnectionMessage.Probe probe) {
      probes = probes.append(probe.alive());
      ping();
      return;
    }
    if (message instanceof ConnectionMessage.Drain drain) {
      drain(drain.inHand());
      return;
    }
    streams.local(message);
  }

  /** A connection that is kept from now on may have been greeted long before. */
  private void keep(boolean wanted) {
    boolean starts = wanted && !kept;
    kept = wanted;
    if (starts) {
      peer.forEach(node -> owner.send(new PeerServiceMessage.Greeted(node, context.self())));
    }
  }

  private void answerProbes(boolean alive) {
    probes.forEach(probe -> probe.send(alive));
    probes = Vector.empty();
  }

  /** A request for a connection that has ended was not sent. */
  private static void refuse(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Open open) {
      open.reply().send(Either.left(Failure.of(ResultCode.PEER_UNREACHABLE)));
    }
    if (message instanceof ConnectionMessage.Answered answered) {
      answered.answer().forEach(answer -> answer.discard());
    }
    if (message instanceof ConnectionMessage.Probe probe) {
      probe.alive().send(false);
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
      sentAnswers = sentAnswers.answered(pong.sequence());
      return null;
    }
    if (message instanceof LinkMessage.Hello hello) {
      peer = Option.some(hello.node());
      owner.send(new PeerServiceMessage.Greeted(hello.node(), context.self()));
      return null;
    }
    peer.forEach(from -> control.receive(from, message));
    return null;
  }

  private Void protocolFailure(Failure failure) {
    logger.atWarning().log("event=peer-protocol peer=%s detail=%s", peer, failure.detail());
    end();
    return null;
  }

  private void tick() {
    long nowNanos = context.clock().nowNanos();
    watching = isWatched();
    if (!watching) {
      tickAfter(IDLE_TICK_MILLIS);
      closeIfIdle(doubted ? 0 : idleLimitNanos, nowNanos);
      return;
    }
    tickAfter(TICK_MILLIS);
    long silenceNanos = nowNanos - Math.max(lastHeardNanos, watchedSinceNanos);
    if (silenceNanos > SILENCE_LIMIT_NANOS) {
      logger.atWarning().log("event=peer-silent peer=%s", peer);
      end();
      return;
    }
    if (silenceNanos > DOUBT_NANOS && !doubted) {
      doubt();
    }
    ticks++;
    boolean quiet = silenceNanos >= TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
    if ((quiet && !streams.isIdle()) || ticks % TICKS_PER_KEPT_PING == 0) {
      ping();
    }
  }

  private void doubt() {
    doubted = true;
    logger.atWarning().log("event=peer-doubted peer=%s", peer);
    owner.send(new PeerServiceMessage.Doubted(context.self()));
    streams.endRepeatable(Failure.of(ResultCode.PEER_LOST, peer.map(NodeId::value).getOrElse("")));
  }

  private void closeIfIdle(long limitNanos, long nowNanos) {
    if (nowNanos - Math.max(lastHeardNanos, lastSaidNanos) > limitNanos) {
      end();
    }
  }

  private void write(PeerMessage message) {
    lastSaidNanos = context.clock().nowNanos();
    if (message instanceof StreamMessage) {
      sentAnswers = sentAnswers.sent(lastSaidNanos);
    }
    transport.send(codec.encode(message));
  }

  private void end() {
    if (closed) {
      return;
    }
    closed = true;
    transport.close();
    context.registry().find(TimerService.NAME).send(new TimerService.Cancel(timerName));
    answerProbes(false);
    if (!streams.isIdle()) {
      logger.atWarning().log("event=peer-lost peer=%s streams=%d", peer, streams.size());
    }
    streams.endAll(Failure.of(ResultCode.PEER_LOST, peer.map(NodeId::value).getOrElse("")));
    owner.send(new PeerServiceMessage.Ended(context.self()));
  }

  @Override
  public void stop() {
    end();
  }
}
