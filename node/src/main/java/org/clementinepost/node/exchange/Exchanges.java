package org.clementinepost.node.exchange;

import io.vavr.control.Either;
import java.util.function.BiFunction;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Delivery;
import org.clementinepost.kernel.Reply;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * Sends requests to tasks and returns their responses; a response that arrives after cancellation
 * is released.
 */
public final class Exchanges {
  private Exchanges() {}

  /**
   * Sends a message whose reply is a {@link BackendResponse}.
   *
   * @param address the task that receives the message
   * @param message creates the message from the cancellation signal and the reply
   */
  public static <M> Mono<Either<Failure, BackendResponse>> request(
      Address<M> address,
      BiFunction<Mono<Void>, Reply<Either<Failure, BackendResponse>>, M> message) {
    return Mono.create(sink -> request(address, message, sink));
  }

  private static <M> void request(
      Address<M> address,
      BiFunction<Mono<Void>, Reply<Either<Failure, BackendResponse>>, M> message,
      MonoSink<Either<Failure, BackendResponse>> sink) {
    Sinks.Empty<Void> cancelled = Sinks.empty();
    PendingResponse pending = new PendingResponse(sink);
    sink.onCancel(
        () -> {
          pending.cancel();
          cancelled.tryEmitEmpty();
        });
    Delivery delivery = address.send(message.apply(cancelled.asMono(), pending::complete));
    if (delivery == Delivery.FULL) {
      sink.success(Either.left(Failure.of(ResultCode.NODE_OVERLOADED)));
    }
    if (delivery == Delivery.STOPPED) {
      sink.success(Either.left(Failure.of(ResultCode.NODE_STOPPING)));
    }
  }
}
