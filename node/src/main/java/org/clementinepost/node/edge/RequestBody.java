package org.clementinepost.node.edge;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.node.exchange.BodyFailedException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SynchronousSink;

/**
 * The body of a caller's request, limited in length.
 *
 * <p>A body that is streamed from the caller can be read only once, so the request cannot be
 * retried at another backend server after reading has started. A body that breaks off fails, so
 * that it is never mistaken for a complete one.
 */
final class RequestBody {
  /** Bodies of up to this length are buffered before the first attempt and can be sent again. */
  static final int MAX_REPLAYABLE_BYTES = 1 << 20;

  private final AtomicBoolean readStarted = new AtomicBoolean();
  private final Flux<Chunk> chunks;
  private final long maxBytes;

  /**
   * Creates a body that is streamed from the caller.
   *
   * @param source the chunks as the HTTP library passes them on
   * @param isWhole whether a number of bytes that the source has completed with is the whole body
   * @param maxBytes the maximum length of the body
   */
  RequestBody(Flux<Chunk> source, LongPredicate isWhole, long maxBytes) {
    this.maxBytes = maxBytes;
    this.chunks = Flux.defer(() -> check(source, isWhole));
  }

  private RequestBody(Chunk content) {
    this.maxBytes = content.length();
    this.chunks = Flux.just(content);
  }

  /** Returns the body of a request that has none. */
  static RequestBody empty() {
    return new RequestBody(Flux.empty(), readBytes -> true, 0);
  }

  /** Returns a body that has been buffered and can be sent any number of times. */
  static RequestBody replayable(Chunk content) {
    return new RequestBody(content);
  }

  /** Reads the whole body into memory. */
  Mono<RequestBody> buffer() {
    return chunks
        .collect(ByteArrayOutputStream::new, (bytes, chunk) -> bytes.writeBytes(chunk.bytes()))
        .map(bytes -> replayable(Chunk.wrap(bytes.toByteArray())));
  }

  private Flux<Chunk> check(Flux<Chunk> source, LongPredicate isWhole) {
    readStarted.set(true);
    AtomicLong readBytes = new AtomicLong();
    return source
        .<Chunk>handle((chunk, sink) -> limitLength(chunk, sink, readBytes))
        .onErrorMap(
            error -> !(error instanceof BodyFailedException),
            error -> brokenOff(String.valueOf(error.getMessage())))
        .concatWith(
            Mono.defer(
                () ->
                    isWhole.test(readBytes.get())
                        ? Mono.empty()
                        : Mono.error(brokenOff("after " + readBytes + " bytes"))));
  }

  private void limitLength(Chunk chunk, SynchronousSink<Chunk> sink, AtomicLong readBytes) {
    if (readBytes.addAndGet(chunk.length()) > maxBytes) {
      sink.error(new BodyFailedException(tooLargeFailure()));
      return;
    }
    sink.next(chunk);
  }

  private static BodyFailedException brokenOff(String detail) {
    return new BodyFailedException(Failure.of(ResultCode.REQUEST_BROKEN_OFF, detail));
  }

  private Failure tooLargeFailure() {
    return Failure.of(ResultCode.BODY_TOO_LARGE, "more than " + maxBytes + " bytes");
  }

  /** Returns a failure if the declared length exceeds the limit. */
  Option<Failure> checkLength(long declaredBytes) {
    return declaredBytes > maxBytes ? Option.some(tooLargeFailure()) : Option.none();
  }

  Flux<Chunk> chunks() {
    return chunks;
  }

  /** Whether reading of a streamed body has started; always false for a buffered one. */
  boolean isReadStarted() {
    return readStarted.get();
  }
}
