package org.clementinepost.node.exchange;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Failure;
import reactor.core.publisher.MonoSink;

/** Hands an answer to whoever waits, or discards it when nobody does any more. */
final class PendingAnswer {
  private final MonoSink<Either<Failure, Answer>> sink;
  private final AtomicBoolean settled = new AtomicBoolean();

  PendingAnswer(MonoSink<Either<Failure, Answer>> sink) {
    this.sink = sink;
  }

  void answer(Either<Failure, Answer> answer) {
    if (settled.compareAndSet(false, true)) {
      sink.success(answer);
      return;
    }
    answer.forEach(Answer::discard);
  }

  void cancel() {
    settled.set(true);
  }
}
