package org.clementinepost.node.exchange;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Failure;
import reactor.core.publisher.MonoSink;

/** Passes a response to the waiting subscriber, or releases it after a cancellation. */
final class PendingResponse {
  private final MonoSink<Either<Failure, BackendResponse>> sink;
  private final AtomicBoolean completed = new AtomicBoolean();

  PendingResponse(MonoSink<Either<Failure, BackendResponse>> sink) {
    this.sink = sink;
  }

  void complete(Either<Failure, BackendResponse> result) {
    if (completed.compareAndSet(false, true)) {
      sink.success(result);
      return;
    }
    result.forEach(BackendResponse::discard);
  }

  void cancel() {
    completed.set(true);
  }
}
