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
final class UploadBody {
  /** Bodies up to this length are read before the request is placed, and can be sent again. */
  static final int MAX_REPEATABLE_BYTES = 1 << 20;

  private final AtomicBoolean started = new AtomicBoolean();
  private final Flux<Chunk> body;
  private final long maxBytes;

  UploadBody(Flux<Chunk> source, long maxBytes) {
    this.maxBytes = maxBytes;
    this.body = Flux.defer(() -> counted(source));
  }

  private UploadBody(Chunk whole) {
    this.maxBytes = whole.length();
    this.body = Flux.just(whole);
  }

  /** A body that has been read whole, and can be sent any number of times. */
  static UploadBody repeatable(Chunk whole) {
    return new UploadBody(whole);
  }

  private Flux<Chunk> counted(Flux<Chunk> source) {
    started.set(true);
    long[] totalBytes = new long[1];
    return source.handle(
        (chunk, sink) -> {
          totalBytes[0] += chunk.length();
          if (totalBytes[0] > maxBytes) {
            sink.error(new BodyFailedException(tooLarge()));
            return;
          }
          sink.next(chunk);
        });
  }

  private Failure tooLarge() {
    return Failure.of(ResultCode.BODY_TOO_LARGE, "more than " + maxBytes + " bytes");
  }

  /** What is wrong with a body of an announced length. */
  Option<Failure> check(long announcedBytes) {
    return announcedBytes > maxBytes ? Option.some(tooLarge()) : Option.none();
  }

  Flux<Chunk> body() {
    return body;
  }

  boolean started() {
    return started.get();
  }
}
