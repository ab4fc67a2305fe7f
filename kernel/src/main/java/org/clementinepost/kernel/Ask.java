package org.clementinepost.kernel;

import io.vavr.control.Either;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import reactor.core.publisher.Mono;

/** Sends a request to a task and returns the reply as a {@link Mono}. */
public final class Ask {
  private Ask() {}

  /**
   * Sends a request on subscription.
   *
   * @param address the address of the task
   * @param toMessage creates the message from the {@link Reply} that it carries
   * @return the reply; {@link ResultCode#NODE_OVERLOADED} if the mailbox is full; {@link
   *     ResultCode#NODE_STOPPING} if the task has stopped
   */
  public static <M, R> Mono<Either<Failure, R>> of(
      Address<M> address, Function<Reply<Either<Failure, R>>, M> toMessage) {
    return Mono.create(
        sink -> {
          Delivery delivery = address.send(toMessage.apply(sink::success));
          if (delivery == Delivery.FULL) {
            sink.success(Either.left(Failure.of(ResultCode.NODE_OVERLOADED)));
          }
          if (delivery == Delivery.STOPPED) {
            sink.success(Either.left(Failure.of(ResultCode.NODE_STOPPING)));
          }
        });
  }
}
