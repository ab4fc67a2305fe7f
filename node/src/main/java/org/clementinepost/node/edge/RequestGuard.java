package org.clementinepost.node.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.atomic.AtomicReference;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Counts the bytes of the request that a caller's connection is handling.
 *
 * <p>The HTTP library discards the unread body of a request when its connection ends, and reports a
 * regular end to a reader that comes later. Readers of a body therefore check {@link RequestEnd}.
 */
final class RequestGuard extends ChannelInboundHandlerAdapter {
  private static final String NAME = "request-guard";

  /** How much of the body of a request has been received. */
  static final class RequestEnd {
    private volatile long receivedBytes;

    private volatile boolean reached;

    /** Whether the body has ended, and its reader has got all of it. */
    boolean isReachedAfter(long readBytes) {
      return reached && readBytes == receivedBytes;
    }
  }

  private RequestEnd requestEnd = new RequestEnd();
  private long receivedBytes;

  private RequestGuard() {}

  /** Adds the guard to a new connection. */
  static void attach(Channel channel) {
    channel.pipeline().addBefore(NettyPipeline.ReactiveBridge, NAME, new RequestGuard());
  }

  /** Returns the end of the request that is being handled; call it from the request's handler. */
  static RequestEnd endOf(HttpServerRequest request) {
    AtomicReference<RequestGuard> guard = new AtomicReference<>();
    request.withConnection(
        connection -> guard.set(connection.channel().pipeline().get(RequestGuard.class)));
    return guard.get() == null ? new RequestEnd() : guard.get().requestEnd;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof HttpRequest) {
      requestEnd = new RequestEnd();
      receivedBytes = 0;
    }
    if (message instanceof HttpContent content) {
      onContent(content);
    }
    super.channelRead(context, message);
  }

  private void onContent(HttpContent content) {
    receivedBytes += content.content().readableBytes();
    requestEnd.receivedBytes = receivedBytes;
    requestEnd.reached = content instanceof LastHttpContent && content.decoderResult().isSuccess();
  }
}
