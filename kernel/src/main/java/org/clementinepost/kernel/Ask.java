package org.clementinepost.kernel;

import io.vavr.control.Either;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import reactor.core.publisher.Mono;

/** Sends a message and gives its answer as a {@link Mono}. */
public final class Ask {
  private Ask() {}

  /**
   * Asks a task.
   *
   * @param address the task
   * @param question makes the message from the reply that it carries
   * @return the answer, or {@link ResultCode#NODE_OVERLOADED} when the mailbox is full
   */
  public static <M, R> Mono<Either<Failure, R>> of(
      Address<M> address, Function<Reply<Either<Failure, R>>, M> question) {
    return Mono.create(
        sink -> {
          Delivery delivery = address.send(question.apply(sink::success));
          if (delivery == Delivery.FULL) {
            sink.success(Either.left(Failure.of(ResultCode.NODE_OVERLOADED)));
          }
          if (delivery == Delivery.STOPPED) {
            sink.success(Either.left(Failure.of(ResultCode.NODE_STOPPING)));
          }
        });
  }
}
