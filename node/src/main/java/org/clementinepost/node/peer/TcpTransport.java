package org.clementinepost.node.peer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.clementinepost.api.Chunk;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Delivery;
import reactor.netty.Connection;

/** Sends and receives frames over TCP, each preceded by its length in four bytes. */
final class TcpTransport implements FrameTransport {
  private static final int MAX_FRAME_BYTES = 2 << 20;
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_FRAMES_PER_FLUSH = 256;

  private final Connection connection;

  private TcpTransport(Connection connection) {
    this.connection = connection;
  }

  /** Adds framing to a connection before its first read, and combines flushes of frames. */
  static void addFraming(Connection connection) {
    connection.addHandlerFirst(
        "flush-consolidation", new FlushConsolidationHandler(MAX_FRAMES_PER_FLUSH, true));
    connection.addHandlerLast(
        "frame-decoder",
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    connection.addHandlerLast("frame-encoder", new LengthFieldPrepender(LENGTH_BYTES));
  }

  /**
   * Passes the frames that arrive on a connection to a task; the connection already has framing.
   */
  static TcpTransport attach(Connection connection, Address<ConnectionMessage> task) {
    connection
        .inbound()
        .receive()
        .map(TcpTransport::copy)
        .subscribe(frame -> deliver(connection, task, frame), error -> connection.dispose());
    connection.onDispose(() -> task.send(new ConnectionMessage.Disconnected()));
    return new TcpTransport(connection);
  }

  private static Chunk copy(ByteBuf buffer) {
    byte[] bytes = new byte[buffer.readableBytes()];
    buffer.readBytes(bytes);
    return Chunk.wrap(bytes);
  }

  /** Delivers a frame, or closes the connection, since no frame of a stream may be skipped. */
  private static void deliver(Connection connection, Address<ConnectionMessage> task, Chunk frame) {
    if (task.send(new ConnectionMessage.FrameReceived(frame)) != Delivery.ACCEPTED) {
      connection.dispose();
    }
  }

  @Override
  public void send(byte[] frame) {
    if (!connection.channel().isActive()) {
      close();
      return;
    }
    ByteBuf buffer = connection.channel().alloc().buffer(frame.length).writeBytes(frame);
    connection
        .channel()
        .writeAndFlush(buffer)
        .addListener(written -> closeIfFailed(written.isSuccess()));
  }

  /** Closes the connection if a frame wasn't written, since no frame may be skipped. */
  private void closeIfFailed(boolean written) {
    if (!written) {
      close();
    }
  }

  @Override
  public void close() {
    connection.dispose();
  }
}
