package org.clementinepost.node.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.BooleanSupplier;
import reactor.netty.NettyPipeline;

/**
 * Knows the requests in hand of one caller's connection, on the connection's own thread.
 *
 * <p>A request is in hand from its head on until the last byte of its answer has been handed to the
 * socket. A connection that is to finish is closed as soon as it has none.
 */
final class CallerConnection extends ChannelDuplexHandler {
  private static final String NAME = "caller-connection";

  /** Tells a connection to finish. */
  private static final Object CLOSE_WHEN_IDLE = new Object();

  private final BooleanSupplier stoppedAccepting;
  private final Runnable onDisconnect;
  private int inFlight;

  private CallerConnection(BooleanSupplier finishing, Runnable left) {
    this.stoppedAccepting = finishing;
    this.onDisconnect = left;
  }

  /**
   * Adds the handler to a new connection.
   *
   * @param finishing whether the node takes no more requests
   * @param left is told when the connection ends while the node is finishing
   */
  static void attach(Channel channel, BooleanSupplier finishing, Runnable left) {
    channel
        .pipeline()
        .addAfter(NettyPipeline.HttpCodec, NAME, new CallerConnection(finishing, left));
  }

  /** Has a connection close once it has no request in hand. */
  static void closeWhenIdle(Channel channel) {
    channel.pipeline().fireUserEventTriggered(CLOSE_WHEN_IDLE);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) throws Exception {
    super.channelActive(context);
    closeIfIdle(context);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event == CLOSE_WHEN_IDLE) {
      closeIfIdle(context);
      return;
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof HttpRequest) {
      inFlight++;
    }
    super.channelRead(context, message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (!(message instanceof LastHttpContent) || isInterimResponse(message)) {
      super.write(context, message, promise);
      return;
    }
    ChannelPromise written = promise.unvoid();
    written.addListener(
        done -> {
          inFlight--;
          closeIfIdle(context);
        });
    super.write(context, message, written);
  }

  private static boolean isInterimResponse(Object message) {
    return message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  private void closeIfIdle(ChannelHandlerContext context) {
    if (stoppedAccepting.getAsBoolean() && inFlight <= 0) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    super.channelInactive(context);
    if (stoppedAccepting.getAsBoolean()) {
      onDisconnect.run();
    }
  }
}
