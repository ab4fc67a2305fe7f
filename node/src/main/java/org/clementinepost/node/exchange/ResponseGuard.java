package org.clementinepost.node.exchange;

import io.netty.buffer.ByteBuf;
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
import reactor.netty.Connection;
import reactor.netty.NettyPipeline;

/**
 * Holds a connection to a backend server to one answer for each request.
 *
 * <p>Bytes that cannot be read as an answer, interim answers without end, and bytes that follow an
 * answer close the connection at once: nothing that comes on it can be told to belong to a request.
 */
final class ResponseGuard extends ChannelDuplexHandler {
  /** Interim answers (1xx) that may come before an answer. */
  private static final int MAX_INTERIM_RESPONSES = 8;

  private final InboundBytes inboundBytes = new InboundBytes();
  private boolean responsePending;
  private boolean inInterimResponse;
  private int interimResponses;

  private ResponseGuard() {}

  static void attach(Connection connection) {
    ResponseGuard guard = new ResponseGuard();
    connection.channel().pipeline().addBefore(NettyPipeline.HttpCodec, null, guard.inboundBytes);
    connection.channel().pipeline().addAfter(NettyPipeline.HttpCodec, null, guard);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest) {
      responsePending = true;
      interimResponses = 0;
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject part)) {
      context.fireChannelRead(message);
      return;
    }
    DecoderResult read = part.decoderResult();
    if (!responsePending || read.isFailure()) {
      ReferenceCountUtil.release(message);
      fail(
          context,
          responsePending ? read.cause() : new CorruptedFrameException("more than one answer"));
      return;
    }
    if (part instanceof HttpResponse response && shouldDropInterim(response)) {
      inInterimResponse = true;
      interimResponses++;
    }
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      ReferenceCountUtil.release(message);
      fail(context, new CorruptedFrameException("interim answers without end"));
      return;
    }
    if (inInterimResponse) {
      inInterimResponse = !(part instanceof LastHttpContent);
      ReferenceCountUtil.release(message);
      return;
    }
    if (part instanceof LastHttpContent) {
      responsePending = false;
      closeIfBytesRemain(context);
    }
    context.fireChannelRead(message);
  }

  /** An order to go on with the body is for whoever sends it; the other interim answers are not. */
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

  /** A connection that is closed before the end of the answer is told is not used again. */
  private void closeIfBytesRemain(ChannelHandlerContext context) {
    if (inboundBytes.hasRemaining()) {
      context.close();
    }
  }

  private static void fail(ChannelHandlerContext context, Throwable cause) {
    context.fireExceptionCaught(cause);
    context.close();
  }

  /** The bytes before they are decoded. */
  private final class InboundBytes extends ChannelInboundHandlerAdapter {
    private ByteBuf decodingBuffer;

    /** Whether bytes follow those that have been decoded. */
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
