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
import org.clementinepost.node.exchange.BufferBudget;
import org.clementinepost.node.exchange.BufferReservation;
import reactor.core.publisher.Flux;

/**
 * Receives a response on a stream and delivers it to the requester.
 *
 * <p>The response is delivered once its body is complete, so that after a connection loss it can
 * still be replaced by the response of another attempt or by a failure. It is delivered earlier,
 * and its body streamed, if the body exceeds {@link #MAX_BUFFERED_BYTES} or the budget of the
 * process, or the deadline of the request is near. Only the task of the connection uses this class.
 */
final class IncomingResponse {
  private static final int MAX_BUFFERED_BYTES = 256 << 10;

  private final ResponseHead head;
  private final BodyReceiver body;
  private final IntConsumer demand;
  private final BooleanSupplier deadlineNear;
  private final Reply<Either<Failure, BackendResponse>> reply;
  private final BufferReservation reservation;
  private int outstandingChunks;
  private boolean delivered;

  /**
   * Starts to receive a response whose head has arrived, and requests the first chunks of its body.
   *
   * @param demand requests more chunks from the peer
   * @param deadlineNear whether the response must be delivered without further buffering
   * @param budget the budget that the buffered body counts against
   */
  IncomingResponse(
      ResponseHead head,
      BodyReceiver body,
      IntConsumer demand,
      BooleanSupplier deadlineNear,
      Reply<Either<Failure, BackendResponse>> reply,
      BufferBudget budget) {
    this.head = head;
    this.body = body;
    this.demand = demand;
    this.deadlineNear = deadlineNear;
    this.reply = reply;
    this.reservation = new BufferReservation(budget);
    if (deadlineNear.getAsBoolean()) {
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
    if (body.receivedBytes() > MAX_BUFFERED_BYTES
        || !reservation.tryAdd(chunk.length())
        || deadlineNear.getAsBoolean()) {
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
    Flux<Chunk> content = body.body().doFinally(signal -> reservation.release());
    reply.send(Either.right(new BackendResponse(head, content)));
  }

  /** Releases what an undelivered response has reserved. */
  void cancel() {
    if (!delivered) {
      reservation.release();
    }
  }

  void onEnd(long totalBytes) {
    Option<Failure> mismatch = body.lengthMismatch(totalBytes);
    if (mismatch.isDefined()) {
      fail(mismatch.get());
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
    reservation.release();
    reply.send(Either.left(failure));
  }
}
