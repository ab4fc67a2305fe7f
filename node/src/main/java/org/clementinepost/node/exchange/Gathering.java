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
public final class Gathering extends BaseSubscriber<Chunk> {
  /** Chunks of the rest of a long body that are asked for ahead of its reader. */
  private static final int AHEAD_CHUNKS = 32;

  private final int maxBytes;
  private final long maxTotalBytes;
  private final MonoSink<Gathered> sink;
  private final ByteArrayOutputStream start = new ByteArrayOutputStream();
  private final Sinks.Many<Chunk> rest = Sinks.many().unicast().onBackpressureBuffer();
  private boolean passing;
  private long totalBytes;

  private Gathering(int maxBytes, long maxTotalBytes, MonoSink<Gathered> sink) {
    this.maxBytes = maxBytes;
    this.maxTotalBytes = maxTotalBytes;
    this.sink = sink;
  }

  /**
   * What was gathered of a body.
   *
   * @param whole whether the body is held whole
   * @param body the body from its beginning; to be subscribed to once unless it is held whole
   */
  public record Gathered(boolean whole, Flux<Chunk> body) {}

  /**
   * Reads a body; fails as the body does when that happens within the first bound.
   *
   * @param maxBytes the bytes that are held at most, but for the last chunk
   * @param maxTotalBytes the length from which on a body is taken for one without end
   */
  public static Mono<Gathered> of(Flux<Chunk> body, int maxBytes, long maxTotalBytes) {
    return Mono.create(
        sink -> {
          Gathering gathering = new Gathering(maxBytes, maxTotalBytes, sink);
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
    if (passing) {
      pass(chunk);
      return;
    }
    start.writeBytes(chunk.bytes());
    if (start.size() <= maxBytes) {
      request(1);
      return;
    }
    passing = true;
    Flux<Chunk> following =
        rest.asFlux().doOnRequest(this::request).doOnCancel(this::cancel).limitRate(AHEAD_CHUNKS);
    sink.success(new Gathered(false, Flux.concat(Flux.just(taken()), following)));
  }

  /** A connection that is closed ends a body without length, so the failure is told before. */
  private void pass(Chunk chunk) {
    if (totalBytes <= maxTotalBytes) {
      rest.tryEmitNext(chunk);
      return;
    }
    rest.tryEmitError(
        new BodyFailedException(
            Failure.of(
                ResultCode.BACKEND_ANSWER_LOST,
                "a body without length has no end within " + maxTotalBytes + " bytes")));
    cancel();
  }

  private Chunk taken() {
    Chunk taken = Chunk.wrap(start.toByteArray());
    start.reset();
    return taken;
  }

  @Override
  protected void hookOnComplete() {
    if (passing) {
      rest.tryEmitComplete();
      return;
    }
    sink.success(new Gathered(true, start.size() == 0 ? Flux.empty() : Flux.just(taken())));
  }

  @Override
  protected void hookOnError(Throwable error) {
    if (passing) {
      rest.tryEmitError(error);
      return;
    }
    sink.error(error);
  }
}
