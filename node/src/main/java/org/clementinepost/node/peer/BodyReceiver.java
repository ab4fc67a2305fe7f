package org.clementinepost.node.peer;

import io.vavr.control.Option;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.node.exchange.BodyFailedException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Gives the chunks that arrive on a stream as a {@link Flux}, and its reader's demand to the other
 * side.
 *
 * <p>The connection's task alone puts chunks in. A body whose length differs from what the other
 * side has counted fails, so that a cut answer is never taken for a whole one.
 */
final class BodyReceiver {
  /** Chunks that may be on their way on one stream. */
  static final int WINDOW_CHUNKS = 32;

  private final Sinks.Many<Chunk> sink = Sinks.many().unicast().onBackpressureBuffer();
  private final Flux<Chunk> body;
  private long receivedBytes;

  BodyReceiver(long streamId, Address<ConnectionMessage> connection) {
    body =
        sink.asFlux()
            .doOnRequest(
                chunks ->
                    connection.send(
                        new ConnectionMessage.ReaderDemand(streamId, limitToWindow(chunks))))
            .doOnCancel(() -> connection.send(new ConnectionMessage.ReaderCancelled(streamId)))
            .limitRate(WINDOW_CHUNKS);
  }

  private static int limitToWindow(long chunks) {
    return (int) Math.min(chunks, WINDOW_CHUNKS);
  }

  Flux<Chunk> body() {
    return body;
  }

  void onChunk(Chunk chunk) {
    receivedBytes += chunk.length();
    sink.tryEmitNext(chunk);
  }

  long receivedBytes() {
    return receivedBytes;
  }

  /** What is wrong with a body that ends here, for the length that the other side has counted. */
  Option<Failure> lengthMismatch(long totalBytes) {
    return Option.when(
        totalBytes != receivedBytes,
        () ->
            Failure.of(
                ResultCode.PEER_PROTOCOL,
                "body of " + receivedBytes + " bytes ended as " + totalBytes));
  }

  void onEnd(long totalBytes) {
    lengthMismatch(totalBytes).peek(this::fail).onEmpty(sink::tryEmitComplete);
  }

  void fail(Failure failure) {
    sink.tryEmitError(new BodyFailedException(failure));
  }
}
