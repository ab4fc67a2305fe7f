package org.clementinepost.node.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;

/**
 * Enforces on a connection to a backend server that each request gets exactly one response.
 *
 * <p>Bytes that aren't a valid response, too many interim responses, and bytes after the end of a
 * response close the connection at once, since later bytes on it can't be attributed to a request.
 *
 * <p>The end of a connection ends a response without a length only if the request was written
 * completely and the connection was closed in an orderly way. The HTTP library reports other ends
 * as the regular end of the response too, so readers of a response check {@link ResponseEnd}.
 */
final class ResponseGuard extends ChannelDuplexHandler {
  /** Maximum number of interim responses (1xx) before the final response. */
  private static final int MAX_INTERIM_RESPONSES = 8;

  /** Whether a response has been received completely. */
  static final class ResponseEnd {
    private volatile boolean reached;

    private ResponseEnd() {}

    /** Whether the end of the response has been received; false if it broke off. */
    boolean isReached() {
      return reached;
    }
  }

  private final InboundBytes inboundBytes = new InboundBytes();
  private boolean responsePending;
  private boolean inInterimResponse;
  private int interimResponses;
  private ResponseEnd responseEnd = new ResponseEnd();
  private boolean requestWritten;

  private ResponseGuard() {}

  /** Adds the guard to a new connection. */
  static void attach(Channel channel) {
    ResponseGuard guard = new ResponseGuard();
    channel.pipeline().addBefore(NettyPipeline.HttpCodec, "inbound-bytes", guard.inboundBytes);
    channel.pipeline().addAfter(NettyPipeline.HttpCodec, "response-guard", guard);
  }

  /** Returns the end of the response that a connection is receiving. */
  static ResponseEnd endOfResponse(Channel channel) {
    ResponseGuard guard = channel.pipeline().get(ResponseGuard.class);
    return guard == null ? new ResponseEnd() : guard.responseEnd;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest) {
      responsePending = true;
      interimResponses = 0;
      responseEnd = new ResponseEnd();
      requestWritten = false;
    }
    if (!(message instanceof LastHttpContent)) {
      context.write(message, promise);
      return;
    }
    ChannelPromise written = promise.unvoid();
    written.addListener(done -> requestWritten = done.isSuccess());
    context.write(message, written);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject part)) {
      context.fireChannelRead(message);
      return;
    }
    DecoderResult result = part.decoderResult();
    if (!responsePending || result.isFailure()) {
      ReferenceCountUtil.release(message);
      fail(
          context,
          responsePending
              ? result.cause()
              : new CorruptedFrameException("more than one response to a request"));
      return;
    }
    if (part instanceof HttpResponse response && shouldDropInterim(response)) {
      inInterimResponse = true;
      interimResponses++;
    }
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      ReferenceCountUtil.release(message);
      fail(context, new CorruptedFrameException("too many interim responses"));
      return;
    }
    if (inInterimResponse) {
      inInterimResponse = !(part instanceof LastHttpContent);
      ReferenceCountUtil.release(message);
      return;
    }
    if (part instanceof LastHttpContent) {
      responsePending = false;
      responseEnd.reached = !inboundBytes.isClosed() || isClosedInOrder();
      closeIfBytesRemain(context);
    }
    context.fireChannelRead(message);
  }

  /**
   * Whether the response is an interim one to be dropped. 100 Continue is counted but passed on to
   * the sender of the request body.
   */
  private boolean shouldDropInterim(HttpResponse response) {
    if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL
        || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      return false;
    }
    if (response.status().equals(HttpResponseStatus.CONTINUE)) {
      interimResponses++;
      return false;
    }
    return true;
  }

  /**
   * Closes the connection if bytes follow the response. This happens before the end of the response
   * is passed on, so that the pool doesn't reuse the connection.
   */
  private void closeIfBytesRemain(ChannelHandlerContext context) {
    if (inboundBytes.hasRemaining()) {
      context.close();
    }
  }

  /** Whether the connection was closed by the server after it had got the whole request. */
  private boolean isClosedInOrder() {
    return requestWritten && !inboundBytes.hasFailed();
  }

  private static void fail(ChannelHandlerContext context, Throwable cause) {
    context.fireExceptionCaught(cause);
    context.close();
  }

  /** Inspects the received bytes ahead of the HTTP decoder. */
  private final class InboundBytes extends ChannelInboundHandlerAdapter {
    private ByteBuf decodingBuffer;
    private boolean closed;
    private boolean failed;

    /** Whether the connection has ended, so that the decoder ends a response without a length. */
    boolean isClosed() {
      return closed;
    }

    /** Whether reading has failed, as it does after a reset. */
    boolean hasFailed() {
      return failed;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failed = true;
      context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      closed = true;
      context.fireChannelInactive();
    }

    /** Whether the buffer being decoded has bytes that aren't decoded yet. */
    boolean hasRemaining() {
      return decodingBuffer != null && decodingBuffer.isReadable();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!(message instanceof ByteBuf buffer)) {
        context.fireChannelRead(message);
        return;
      }
      if (!responsePending) {
        buffer.release();
        context.close();
        return;
      }
      decodingBuffer = buffer.retain();
      try {
        context.fireChannelRead(buffer);
      } finally {
        decodingBuffer = null;
        buffer.release();
      }
    }
  }
}
