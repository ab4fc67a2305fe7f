package org.clementinepost.node.peer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.BackendResponse;

/**
 * An answer that arrives on a stream.
 *
 * <p>It is handed on when its body is whole, so that one that breaks off can still be replaced by
 * another answer or by a failure. A body longer than {@link #MAX_BUFFERED_BYTES}, and one whose
 * caller is about to give up, is handed on while it comes. The connection's task alone uses it.
 */
final class IncomingResponse {
  private static final int MAX_BUFFERED_BYTES = 256 << 10;

  private final ResponseHead head;
  private final BodyReceiver body;
  private final IntConsumer demand;
  private final BooleanSupplier deadlineNear;
  private final Reply<Either<Failure, BackendResponse>> reply;
  private int outstandingChunks;
  private boolean delivered;

  /**
   * Takes an answer whose head has come, and asks for the first of its body.
   *
   * @param demand asks the other side for more chunks
   * @param due whether the answer can be held no longer
   */
  IncomingResponse(
      ResponseHead head,
      BodyReceiver body,
      IntConsumer demand,
      BooleanSupplier due,
      Reply<Either<Failure, BackendResponse>> reply) {
    this.head = head;
    this.body = body;
    this.demand = demand;
    this.deadlineNear = due;
    this.reply = reply;
    if (due.getAsBoolean()) {
      deliver();
      return;
    }
    requestChunks();
  }

  private void requestChunks() {
    outstandingChunks = BodyReceiver.WINDOW_CHUNKS;
    demand.accept(outstandingChunks);
  }

  boolean isDelivered() {
    return delivered;
  }

  void onChunk(Chunk chunk) {
    body.onChunk(chunk);
    if (delivered) {
      return;
    }
    if (body.receivedBytes() > MAX_BUFFERED_BYTES || deadlineNear.getAsBoolean()) {
      deliver();
      return;
    }
    outstandingChunks--;
    if (outstandingChunks == 0) {
      requestChunks();
    }
  }

  private void deliver() {
    delivered = true;
    reply.send(Either.right(new BackendResponse(head, body.body())));
  }

  void onEnd(long totalBytes) {
    Option<Failure> wrong = body.lengthMismatch(totalBytes);
    if (wrong.isDefined()) {
      fail(wrong.get());
      return;
    }
    body.onEnd(totalBytes);
    if (!delivered) {
      deliver();
    }
  }

  void fail(Failure failure) {
    if (delivered) {
      body.fail(failure);
      return;
    }
    reply.send(Either.left(failure));
  }
}
