package org.clementinepost.node.exchange;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.clementinepost.api.Chunk;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.netty.NettyOutbound;
import reactor.netty.NettyPipeline;

/**
 * Passes a body on to a connection only as fast as the peer reads it.
 *
 * <p>The HTTP library requests many chunks of a body ahead of the socket. Without the gate, each
 * peer that doesn't read would hold that many chunks in memory.
 */
public final class WritabilityGate extends ChannelInboundHandlerAdapter {
  private static final String NAME = "writability-gate";

  private Option<MonoSink<Void>> waiting = Option.none();

  private WritabilityGate() {}

  /** Adds the gate to a new HTTP connection. */
  public static void attach(Channel channel) {
    channel.pipeline().addAfter(NettyPipeline.HttpCodec, NAME, new WritabilityGate());
  }

  /** Returns a body whose next chunk is emitted once the connection can be written to. */
  public static Flux<Chunk> pace(Flux<Chunk> body, NettyOutbound outbound) {
    Channel channel = channelOf(outbound);
    return body.concatMap(
        chunk -> channel.isWritable() ? Mono.just(chunk) : awaitWritable(channel).thenReturn(chunk),
        1);
  }

  private static Channel channelOf(NettyOutbound outbound) {
    AtomicReference<Channel> channel = new AtomicReference<>();
    outbound.withConnection(connection -> channel.set(connection.channel()));
    return channel.get();
  }

  private static Mono<Void> awaitWritable(Channel channel) {
    return Mono.create(
        sink -> channel.eventLoop().execute(() -> completeWhenWritable(channel, sink)));
  }

  /** A closed connection has no gate any more, and is not written to. */
  private static void completeWhenWritable(Channel channel, MonoSink<Void> sink) {
    WritabilityGate gate = channel.pipeline().get(WritabilityGate.class);
    if (gate == null || channel.isWritable() || !channel.isActive()) {
      sink.success();
      return;
    }
    gate.waiting = Option.some(sink);
  }

  private void open() {
    Option<MonoSink<Void>> ready = waiting;
    waiting = Option.none();
    ready.forEach(MonoSink::success);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
    super.channelWritabilityChanged(context);
    if (context.channel().isWritable()) {
      open();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    super.channelInactive(context);
    open();
  }
}
