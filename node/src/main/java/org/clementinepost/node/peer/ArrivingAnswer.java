package org.clementinepost.node.peer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.Answer;

/**
 * An answer that arrives on a stream.
 *
 * <p>It is handed on when its body is whole, so that one that breaks off can still be replaced by
 * another answer or by a failure. A body longer than {@link #MAX_HELD_BYTES}, and one whose caller
 * is about to give up, is handed on while it comes. The connection's task alone uses it.
 */
final class ArrivingAnswer {
  private static final int MAX_HELD_BYTES = 256 << 10;

  private final ResponseHead head;
  private final BodyReceiver body;
  private final IntConsumer demand;
  private final BooleanSupplier due;
  private final Reply<Either<Failure, Answer>> reply;
  private int chunksDue;
  private boolean handedOn;

  /**
   * Takes an answer whose head has come, and asks for the first of its body.
   *
   * @param demand asks the other side for more chunks
   * @param due whether the answer can be held no longer
   */
  ArrivingAnswer(
      ResponseHead head,
      BodyReceiver body,
      IntConsumer demand,
      BooleanSupplier due,
      Reply<Either<Failure, Answer>> reply) {
    this.head = head;
    this.body = body;
    this.demand = demand;
    this.due = due;
    this.reply = reply;
    if (due.getAsBoolean()) {
      handOn();
      return;
    }
    ask();
  }

  private void ask() {
    chunksDue = BodyReceiver.WINDOW_CHUNKS;
    demand.accept(chunksDue);
  }

  boolean isHandedOn() {
    return handedOn;
  }

  void chunk(Chunk chunk) {
    body.chunk(chunk);
    if (handedOn) {
      return;
    }
    if (body.receivedBytes() > MAX_HELD_BYTES || due.getAsBoolean()) {
      handOn();
      return;
    }
    chunksDue--;
    if (chunksDue == 0) {
      ask();
    }
  }

  private void handOn() {
    handedOn = true;
    reply.send(Either.right(new Answer(head, body.body())));
  }

  void end(long totalBytes) {
    Option<Failure> wrong = body.lengthFailure(totalBytes);
    if (wrong.isDefined()) {
      fail(wrong.get());
      return;
    }
    body.end(totalBytes);
    if (!handedOn) {
      handOn();
    }
  }

  void fail(Failure failure) {
    if (handedOn) {
      body.fail(failure);
      return;
    }
    reply.send(Either.left(failure));
  }
}
