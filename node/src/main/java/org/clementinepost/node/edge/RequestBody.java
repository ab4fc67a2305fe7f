package org.clementinepost.node.edge;

import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.node.exchange.BodyFailedException;
import reactor.core.publisher.Flux;

/**
 * A caller's body, which can be read once and up to a limit.
 *
 * <p>A request whose body has been touched cannot be tried at another backend server.
 */
final class RequestBody {
  /** Bodies up to this length are read before the request is placed, and can be sent again. */
  static final int MAX_REPLAYABLE_BYTES = 1 << 20;

  private final AtomicBoolean readStarted = new AtomicBoolean();
  private final Flux<Chunk> chunks;
  private final long maxBytes;

  RequestBody(Flux<Chunk> source, long maxBytes) {
    this.maxBytes = maxBytes;
    this.chunks = Flux.defer(() -> limitLength(source));
  }

  private RequestBody(Chunk whole) {
    this.maxBytes = whole.length();
    this.chunks = Flux.just(whole);
  }

  /** A body that has been read whole, and can be sent any number of times. */
  static RequestBody replayable(Chunk whole) {
    return new RequestBody(whole);
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

  /** What is wrong with a body of an announced length. */
  Option<Failure> checkLength(long announcedBytes) {
    return announcedBytes > maxBytes ? Option.some(tooLargeFailure()) : Option.none();
  }

  Flux<Chunk> chunks() {
    return chunks;
  }

  boolean isReadStarted() {
    return readStarted.get();
  }
}
