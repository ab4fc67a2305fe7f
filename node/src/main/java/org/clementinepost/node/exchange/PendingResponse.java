package org.clementinepost.node.exchange;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Failure;
import reactor.core.publisher.MonoSink;

/** Hands an answer to whoever waits, or discards it when nobody does any more. */
final class PendingResponse {
  private final MonoSink<Either<Failure, BackendResponse>> sink;
  private final AtomicBoolean settled = new AtomicBoolean();

  PendingResponse(MonoSink<Either<Failure, BackendResponse>> sink) {
    this.sink = sink;
  }

  void complete(Either<Failure, BackendResponse> answer) {
    if (settled.compareAndSet(false, true)) {
      sink.success(answer);
      return;
    }
    answer.forEach(BackendResponse::discard);
  }

  void cancel() {
    settled.set(true);
  }
}
