package org.clementinepost.node.edge;

import com.google.common.flogger.FluentLogger;
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
import io.vavr.control.Option;
import java.util.function.BooleanSupplier;
import reactor.netty.NettyPipeline;

/**
 * Counts the requests in flight on one caller's connection, and closes the connection at zero once
 * the node has stopped accepting requests.
 *
 * <p>A request is in flight from the arrival of its head until the last byte of its response has
 * been written to the socket. All changes are made on the event loop of the connection.
 *
 * <p>A connection that is not read isn't noticed as closed. So a connection is also closed if
 * nothing is read from it or written to it for the idle timeout, while nothing is in flight or its
 * caller doesn't read a response.
 */
final class CallerConnection extends ChannelDuplexHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String NAME = "caller-connection";

  /** User event that closes the connection if nothing is in flight. */
  private static final Object CLOSE_WHEN_IDLE = new Object();

  /** User event that closes the connection if nothing has happened on it for the idle timeout. */
  private static final Object CHECK = new Object();

  /**
   * What has happened on a connection.
   *
   * @param messages the HTTP messages and parts that were read or written
   * @param pendingBytes how much more may be written before the connection isn't writable, or has
   *     to be written before it is
   */
  private record Progress(long messages, long pendingBytes) {}

  private final long maxUnchangedChecks;
  private final BooleanSupplier stoppedAccepting;
  private final Runnable onDisconnect;
  private long messages;
  private Progress checkedProgress = new Progress(0, 0);
  private volatile int inFlight;
  private volatile int unchangedChecks;

  private CallerConnection(
      long maxUnchangedChecks, BooleanSupplier stoppedAccepting, Runnable onDisconnect) {
    this.maxUnchangedChecks = maxUnchangedChecks;
    this.stoppedAccepting = stoppedAccepting;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Adds the handler to a new connection.
   *
   * @param maxUnchangedChecks how many calls of {@link #check} in a row may find that nothing has
   *     happened
   * @param stoppedAccepting whether the node has stopped accepting requests
   * @param onDisconnect runs when the connection closes after the node has stopped accepting
   */
  static void attach(
      Channel channel,
      long maxUnchangedChecks,
      BooleanSupplier stoppedAccepting,
      Runnable onDisconnect) {
    channel
        .pipeline()
        .addAfter(
            NettyPipeline.HttpCodec,
            NAME,
            new CallerConnection(maxUnchangedChecks, stoppedAccepting, onDisconnect));
  }

  /** Returns the handler of a connection; none if the connection is closed. */
  static Option<CallerConnection> of(Channel channel) {
    return Option.of(channel.pipeline().get(CallerConnection.class));
  }

  /** Closes a connection if nothing has happened on it for too long. */
  static void check(Channel channel) {
    channel.pipeline().fireUserEventTriggered(CHECK);
  }

  /** Whether no request is in flight. */
  boolean isIdle() {
    return inFlight <= 0;
  }

  /** Whether a request is in flight and nothing has happened since the last check. */
  boolean isStalled() {
    return !isIdle() && unchangedChecks > 0;
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
    if (event == CHECK) {
      closeIfUnused(context);
      return;
    }
    super.userEventTriggered(context, event);
  }

  private void closeIfUnused(ChannelHandlerContext context) {
    Channel channel = context.channel();
    long pendingBytes =
        channel.isWritable() ? -channel.bytesBeforeUnwritable() : channel.bytesBeforeWritable();
    Progress progress = new Progress(messages, pendingBytes);
    unchangedChecks = progress.equals(checkedProgress) ? unchangedChecks + 1 : 0;
    checkedProgress = progress;
    boolean waitsForCaller = isIdle() || !channel.isWritable();
    if (waitsForCaller && unchangedChecks > maxUnchangedChecks) {
      logger.atInfo().log(
          "event=connection-unused caller=%s in-flight=%d", channel.remoteAddress(), inFlight);
      context.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    messages++;
    if (message instanceof HttpRequest) {
      changeInFlight(1);
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
    messages++;
    if (!(message instanceof LastHttpContent) || isInterimResponse(message)) {
      super.write(context, message, promise);
      return;
    }
    ChannelPromise written = promise.unvoid();
    written.addListener(
        done -> {
          changeInFlight(-1);
          closeIfIdle(context);
        });
    super.write(context, message, written);
  }

  private static boolean isInterimResponse(Object message) {
    return message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  private void changeInFlight(int difference) {
    inFlight = inFlight + difference;
  }

  private void closeIfIdle(ChannelHandlerContext context) {
    if (stoppedAccepting.getAsBoolean() && isIdle()) {
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
