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
 * Reads a body at the pace of the other side and hands its chunks to the connection's task.
 *
 * <p>The body is subscribed to at the first demand and not before, so that a request that is
 * refused has not been read.
 */
final class BodySender extends BaseSubscriber<Chunk> {
  /** Chunks larger than this are cut, so that streams share a connection evenly. */
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
    Vector<Chunk> pieces = Vector.empty();
    for (int from = 0; from < chunk.length(); from += MAX_CHUNK_BYTES) {
      int to = Math.min(chunk.length(), from + MAX_CHUNK_BYTES);
      pieces = pieces.append(Chunk.wrap(Arrays.copyOfRange(chunk.bytes(), from, to)));
    }
    return pieces;
  }

  /** Takes the other side's demand. */
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

  /** Stops reading, and lets go of a body that nothing has been read of. */
  void cancelAndRelease() {
    if (!started) {
      started = true;
      body.subscribe().dispose();
      return;
    }
    cancel();
  }

  /** Stops reading, and leaves a body that nothing has been read of to others. */
  void cancelIfStarted() {
    if (started) {
      cancel();
    }
  }
}
