package org.clementinepost.node.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.function.BooleanSupplier;
import reactor.netty.NettyPipeline;

/**
 * Counts the requests in flight on one caller's connection, and closes the connection at zero once
 * the node has stopped accepting requests.
 *
 * <p>A request is in flight from the arrival of its head until the last byte of its response has
 * been written to the socket. All methods run on the event loop of the connection.
 */
final class CallerConnection extends ChannelDuplexHandler {
  private static final String NAME = "caller-connection";

  /** User event that closes the connection if nothing is in flight. */
  private static final Object CLOSE_WHEN_IDLE = new Object();

  private final BooleanSupplier stoppedAccepting;
  private final Runnable onDisconnect;
  private int inFlight;

  private CallerConnection(BooleanSupplier stoppedAccepting, Runnable onDisconnect) {
    this.stoppedAccepting = stoppedAccepting;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Adds the handler to a new connection.
   *
   * @param stoppedAccepting whether the node has stopped accepting requests
   * @param onDisconnect runs when the connection closes after the node has stopped accepting
   */
  static void attach(Channel channel, BooleanSupplier stoppedAccepting, Runnable onDisconnect) {
    channel
        .pipeline()
        .addAfter(
            NettyPipeline.HttpCodec, NAME, new CallerConnection(stoppedAccepting, onDisconnect));
  }

  /** Closes a connection as soon as no request is in flight on it. */
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
    if (message instanceof HttpContent content) {
      reportLongLineAsBadChunk(content);
    }
    super.channelRead(context, message);
  }

  /**
   * Marks a body whose chunk header is too long as malformed; the HTTP library would otherwise
   * report that the request line is too long.
   */
  private static void reportLongLineAsBadChunk(HttpContent content) {
    if (content.decoderResult().cause() instanceof TooLongHttpLineException) {
      content.setDecoderResult(
          DecoderResult.failure(new CorruptedFrameException("chunk header too long")));
    }
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
