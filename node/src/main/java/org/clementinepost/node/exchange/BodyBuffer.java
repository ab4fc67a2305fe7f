package org.clementinepost.node.exchange;

import java.io.ByteArrayOutputStream;
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
 * Reads a body into memory up to a bound.
 *
 * <p>A body that ends within the bound is held whole and can be read again and again. Of a longer
 * one the beginning is held, and the rest is read at the pace of whoever reads it.
 */
public final class BodyBuffer extends BaseSubscriber<Chunk> {
  /** Chunks of the rest of a long body that are asked for ahead of its reader. */
  private static final int PREFETCH_CHUNKS = 32;

  private final int maxBufferedBytes;
  private final long maxTotalBytes;
  private final MonoSink<BufferedBody> sink;
  private final ByteArrayOutputStream prefix = new ByteArrayOutputStream();
  private final Sinks.Many<Chunk> remainder = Sinks.many().unicast().onBackpressureBuffer();
  private boolean streaming;
  private long totalBytes;

  private BodyBuffer(int maxBytes, long maxTotalBytes, MonoSink<BufferedBody> sink) {
    this.maxBufferedBytes = maxBytes;
    this.maxTotalBytes = maxTotalBytes;
    this.sink = sink;
  }

  /**
   * What was gathered of a body.
   *
   * @param complete whether the body is held whole
   * @param body the body from its beginning; to be subscribed to once unless it is held whole
   */
  public record BufferedBody(boolean complete, Flux<Chunk> body) {}

  /**
   * Reads a body; fails as the body does when that happens within the first bound.
   *
   * @param maxBytes the bytes that are held at most, but for the last chunk
   * @param maxTotalBytes the length from which on a body is taken for one without end
   */
  public static Mono<BufferedBody> read(Flux<Chunk> body, int maxBytes, long maxTotalBytes) {
    return Mono.create(
        sink -> {
          BodyBuffer gathering = new BodyBuffer(maxBytes, maxTotalBytes, sink);
          sink.onCancel(gathering);
          body.subscribe(gathering);
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
    prefix.writeBytes(chunk.bytes());
    if (prefix.size() <= maxBufferedBytes) {
      request(1);
      return;
    }
    streaming = true;
    Flux<Chunk> following =
        remainder
            .asFlux()
            .doOnRequest(this::request)
            .doOnCancel(this::cancel)
            .limitRate(PREFETCH_CHUNKS);
    sink.success(new BufferedBody(false, Flux.concat(Flux.just(takePrefix()), following)));
  }

  /** A connection that is closed ends a body without length, so the failure is told before. */
  private void forward(Chunk chunk) {
    if (totalBytes <= maxTotalBytes) {
      remainder.tryEmitNext(chunk);
      return;
    }
    remainder.tryEmitError(
        new BodyFailedException(
            Failure.of(
                ResultCode.BACKEND_ANSWER_LOST,
                "a body without length has no end within " + maxTotalBytes + " bytes")));
    cancel();
  }

  private Chunk takePrefix() {
    Chunk taken = Chunk.wrap(prefix.toByteArray());
    prefix.reset();
    return taken;
  }

  @Override
  protected void hookOnComplete() {
    if (streaming) {
      remainder.tryEmitComplete();
      return;
    }
    sink.success(
        new BufferedBody(true, prefix.size() == 0 ? Flux.empty() : Flux.just(takePrefix())));
  }

  @Override
  protected void hookOnError(Throwable error) {
    if (streaming) {
      remainder.tryEmitError(error);
      return;
    }
    sink.error(error);
  }
}
