package org.clementinepost.node.peer;

import io.vavr.collection.Vector;
import java.util.Arrays;
import java.util.List;
import org.clementinepost.api.Chunk;
import org.clementinepost.kernel.Address;
import org.clementinepost.node.exchange.BodyFailedException;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;

/**
 * Reads a body at the pace of the peer and passes its chunks to the task of the connection.
 *
 * <p>The body is subscribed to only at the first demand, so that the body of a refused request is
 * still unread and can be sent to another host.
 */
final class BodySender extends BaseSubscriber<Chunk> {
  /** Larger chunks are split, so that streams share a connection evenly. */
  private static final int MAX_CHUNK_BYTES = 16 * 1024;

  private final long streamId;
  private final Flux<Chunk> body;
  private final Address<ConnectionMessage> connection;
  private long initialDemand;
  private boolean started;
  private long totalBytes;

  BodySender(long streamId, Flux<Chunk> body, Address<ConnectionMessage> connection) {
    this.streamId = streamId;
    this.body = body.concatMapIterable(BodySender::split, 1);
    this.connection = connection;
  }

  private static Iterable<Chunk> split(Chunk chunk) {
    if (chunk.length() <= MAX_CHUNK_BYTES) {
      return List.of(chunk);
    }
    Vector<Chunk> parts = Vector.empty();
    for (int from = 0; from < chunk.length(); from += MAX_CHUNK_BYTES) {
      int to = Math.min(chunk.length(), from + MAX_CHUNK_BYTES);
      parts = parts.append(Chunk.wrap(Arrays.copyOfRange(chunk.bytes(), from, to)));
    }
    return parts;
  }

  /** Handles the peer's demand for more chunks. */
  void onDemand(int chunks) {
    if (started) {
      request(chunks);
      return;
    }
    started = true;
    initialDemand = chunks;
    body.subscribe(this);
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    subscription.request(initialDemand);
  }

  @Override
  protected void hookOnNext(Chunk chunk) {
    totalBytes += chunk.length();
    if (!connection.send(new ConnectionMessage.BodyChunk(streamId, chunk)).accepted()) {
      cancel();
    }
  }

  @Override
  protected void hookOnComplete() {
    connection.send(new ConnectionMessage.BodyEnded(streamId, totalBytes));
  }

  @Override
  protected void hookOnError(Throwable error) {
    connection.send(
        new ConnectionMessage.BodyFailed(streamId, BodyFailedException.failureOf(error)));
  }

  /** Stops reading the body; a body that hasn't been started is released. */
  void cancelAndRelease() {
    if (!started) {
      started = true;
      body.subscribe().dispose();
      return;
    }
    cancel();
  }

  /** Stops reading the body; a body that hasn't been started stays available to a later attempt. */
  void cancelIfStarted() {
    if (started) {
      cancel();
    }
  }
}
