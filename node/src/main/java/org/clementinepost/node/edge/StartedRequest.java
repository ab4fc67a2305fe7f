package org.clementinepost.node.edge;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestId;
import org.clementinepost.node.exchange.BackendResponse;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * A pipelined request whose processing has started before its response may be written.
 *
 * <p>The result is either passed on to the writer of the response or discarded, exactly once.
 */
final class StartedRequest {
  private final RequestId id;
  private final long startedNanos;
  private final Runnable releaseBudget;
  private final Sinks.One<Either<Failure, BackendResponse>> result = Sinks.one();
  private final AtomicBoolean resultUsed = new AtomicBoolean();
  private final AtomicBoolean budgetReleased = new AtomicBoolean();
  private final Disposable processing;

  private StartedRequest(
      RequestId id,
      long startedNanos,
      Runnable releaseBudget,
      Mono<Either<Failure, BackendResponse>> processing) {
    this.id = id;
    this.startedNanos = startedNanos;
    this.releaseBudget = releaseBudget;
    this.processing = processing.subscribe(this::onResult, result::tryEmitError);
  }

  /**
   * Starts to process a request.
   *
   * @param releaseBudget releases what was reserved for the response; runs once
   */
  static StartedRequest start(
      RequestId id,
      long startedNanos,
      Runnable releaseBudget,
      Mono<Either<Failure, BackendResponse>> processing) {
    return new StartedRequest(id, startedNanos, releaseBudget, processing);
  }

  RequestId id() {
    return id;
  }

  long startedNanos() {
    return startedNanos;
  }

  private void onResult(Either<Failure, BackendResponse> next) {
    if (result.tryEmitValue(next).isFailure()) {
      next.forEach(BackendResponse::discard);
    }
  }

  /** Returns the result for the writer of the response, which may cancel the processing. */
  Mono<Either<Failure, BackendResponse>> take() {
    releaseBudgetOnce();
    return result
        .asMono()
        .filter(next -> resultUsed.compareAndSet(false, true))
        .doOnCancel(this::cancel);
  }

  /** Ends the processing and discards a result that has not been passed on. */
  void cancel() {
    releaseBudgetOnce();
    processing.dispose();
    if (result.tryEmitEmpty().isFailure()) {
      result.asMono().subscribe(this::discardUnlessUsed, error -> {});
    }
  }

  private void discardUnlessUsed(Either<Failure, BackendResponse> unread) {
    if (resultUsed.compareAndSet(false, true)) {
      unread.forEach(BackendResponse::discard);
    }
  }

  private void releaseBudgetOnce() {
    if (budgetReleased.compareAndSet(false, true)) {
      releaseBudget.run();
    }
  }
}
