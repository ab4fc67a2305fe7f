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
 * Publishes the chunks that arrive on a stream as a {@link Flux}, and forwards the demand of its
 * reader to the peer.
 *
 * <p>Only the task of the connection adds chunks. A body whose length differs from the total that
 * the peer reports fails, so that a truncated body is never mistaken for a complete one.
 */
final class BodyReceiver {
  /** Maximum number of chunks in flight on one stream. */
  static final int WINDOW_CHUNKS = 8;

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

  /** Returns a failure if the received length differs from the total that the peer reports. */
  Option<Failure> lengthMismatch(long totalBytes) {
    return Option.when(
        totalBytes != receivedBytes,
        () ->
            Failure.of(
                ResultCode.PEER_PROTOCOL,
                "body of "
                    + receivedBytes
                    + " bytes received, but the peer reports "
                    + totalBytes));
  }

  void onEnd(long totalBytes) {
    lengthMismatch(totalBytes).peek(this::fail).onEmpty(sink::tryEmitComplete);
  }

  void fail(Failure failure) {
    sink.tryEmitError(new BodyFailedException(failure));
  }
}
