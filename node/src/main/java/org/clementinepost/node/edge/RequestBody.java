package org.clementinepost.node.edge;

import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.node.exchange.BodyFailedException;
import reactor.core.publisher.Flux;

/**
 * The body of a caller's request, limited in length.
 *
 * <p>A body that is streamed from the caller can be read only once, so the request cannot be
 * retried at another backend server after reading has started.
 */
final class RequestBody {
  /** Bodies of up to this length are buffered before the first attempt and can be sent again. */
  static final int MAX_REPLAYABLE_BYTES = 1 << 20;

  private final AtomicBoolean readStarted = new AtomicBoolean();
  private final Flux<Chunk> chunks;
  private final long maxBytes;

  RequestBody(Flux<Chunk> source, long maxBytes) {
    this.maxBytes = maxBytes;
    this.chunks = Flux.defer(() -> limitLength(source));
  }

  private RequestBody(Chunk content) {
    this.maxBytes = content.length();
    this.chunks = Flux.just(content);
  }

  /** Returns a body that has been buffered and can be sent any number of times. */
  static RequestBody replayable(Chunk content) {
    return new RequestBody(content);
  }

  private Flux<Chunk> limitLength(Flux<Chunk> source) {
    readStarted.set(true);
    long[] totalBytes = new long[1];
    return source.handle(
        (chunk, sink) -> {
          totalBytes[0] += chunk.length();
          if (totalBytes[0] > maxBytes) {
            sink.error(new BodyFailedException(tooLargeFailure()));
            return;
          }
          sink.next(chunk);
        });
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
