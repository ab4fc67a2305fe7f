package org.clementinepost.node.exchange;

import io.vavr.collection.Vector;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * Reads a body into memory up to a limit.
 *
 * <p>A body within the limit is buffered completely and can be read repeatedly. Of a longer body,
 * the beginning is buffered and the remainder is streamed at the pace of its reader.
 */
public final class BodyBuffer extends BaseSubscriber<Chunk> {
  /** Number of chunks of the remainder that are requested ahead of its reader. */
  private static final int PREFETCH_CHUNKS = 4;

  /** The beginning of a body that is buffered whether or not the budget is spent. */
  public static final int UNBUDGETED_BYTES = 64 << 10;

  private final int maxBufferedBytes;
  private final long maxTotalBytes;
  private final MonoSink<BufferedBody> sink;
  private Vector<Chunk> prefix = Vector.empty();
  private final Sinks.Many<Chunk> remainder = Sinks.many().unicast().onBackpressureBuffer();
  private final BufferReservation reservation;
  private boolean streaming;
  private long totalBytes;

  private BodyBuffer(
      int maxBufferedBytes, long maxTotalBytes, BufferBudget budget, MonoSink<BufferedBody> sink) {
    this.maxBufferedBytes = maxBufferedBytes;
    this.maxTotalBytes = maxTotalBytes;
    this.reservation = new BufferReservation(budget);
    this.sink = sink;
  }

  /**
   * A body that has been buffered completely or in part.
   *
   * @param complete whether the whole body is in memory
   * @param bufferedBytes the length of what is in memory
   * @param body the body from its beginning; to be subscribed to only once unless it is complete
   */
  public record BufferedBody(boolean complete, long bufferedBytes, Flux<Chunk> body) {}

  /**
   * Reads a body within the budget of the process; fails if the body fails before it is streamed.
   *
   * @param maxBufferedBytes the limit of the buffer, which the last chunk may exceed
   * @param maxTotalBytes the maximum length of the body; a longer one is assumed to be endless and
   *     fails
   */
  public static Mono<BufferedBody> read(
      Flux<Chunk> body, int maxBufferedBytes, long maxTotalBytes) {
    return read(body, maxBufferedBytes, maxTotalBytes, BufferBudget.PROCESS);
  }

  static Mono<BufferedBody> read(
      Flux<Chunk> body, int maxBufferedBytes, long maxTotalBytes, BufferBudget budget) {
    return Mono.create(
        sink -> {
          BodyBuffer buffer = new BodyBuffer(maxBufferedBytes, maxTotalBytes, budget, sink);
          sink.onCancel(buffer);
          body.subscribe(buffer);
        });
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    request(1);
  }

  @Override
  protected void hookOnNext(Chunk chunk) {
    totalBytes += chunk.length();
    if (streaming) {
      forward(chunk);
      return;
    }
    prefix = prefix.append(chunk);
    if (totalBytes <= maxBufferedBytes && reservation.tryAdd(chunk.length())) {
      request(1);
      return;
    }
    streaming = true;
    Flux<Chunk> streamed =
        remainder
            .asFlux()
            .doOnRequest(this::request)
            .doOnCancel(this::cancel)
            .limitRate(PREFETCH_CHUNKS);
    sink.success(
        new BufferedBody(false, totalBytes, releaseAtEnd(Flux.concat(takePrefix(), streamed))));
  }

  private Flux<Chunk> releaseAtEnd(Flux<Chunk> body) {
    return reservation.isEmpty() ? body : body.doFinally(signal -> reservation.release());
  }

  /**
   * Passes a chunk on, or fails a body that is too long. The failure is emitted before the
   * cancellation closes the connection, since a closed connection is the regular end of a body
   * without a content length.
   */
  private void forward(Chunk chunk) {
    if (totalBytes <= maxTotalBytes) {
      remainder.tryEmitNext(chunk);
      return;
    }
    remainder.tryEmitError(
        new BodyFailedException(
            Failure.of(
                ResultCode.BACKEND_ANSWER_LOST,
                "a body without a content length exceeds " + maxTotalBytes + " bytes")));
    cancel();
  }

  /**
   * Takes the buffered chunks. They are hidden from operators that would poll them one by one: such
   * an operator may end the body without its completion signal, which releases what the body holds.
   */
  private Flux<Chunk> takePrefix() {
    Flux<Chunk> taken = Flux.<Chunk>fromIterable(prefix).hide();
    prefix = Vector.empty();
    return taken;
  }

  @Override
  protected void hookOnComplete() {
    if (streaming) {
      remainder.tryEmitComplete();
      return;
    }
    sink.success(new BufferedBody(true, totalBytes, releaseAtEnd(takePrefix())));
  }

  @Override
  protected void hookOnError(Throwable error) {
    if (streaming) {
      remainder.tryEmitError(error);
      return;
    }
    reservation.release();
    sink.error(error);
  }

  @Override
  protected void hookOnCancel() {
    if (!streaming) {
      reservation.release();
    }
  }
}
