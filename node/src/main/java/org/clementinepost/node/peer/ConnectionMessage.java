package org.clementinepost.node.peer;

import io.vavr.control.Either;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.BackendResponse;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** What the task of one connection is told. */
public sealed interface ConnectionMessage {
  /** A frame has arrived. */
  record FrameReceived(Chunk content) implements ConnectionMessage {}

  /** The socket is closed. */
  record Disconnected() implements ConnectionMessage {}

  /** It is time to look for a sign of life. */
  record Tick() implements ConnectionMessage {}

  /** Sends a message to the other side. */
  record Send(PeerMessage message) implements ConnectionMessage {}

  /** Tells whether the connection is kept when it carries no stream. */
  record SetPersistent(boolean persistent) implements ConnectionMessage {}

  /** Asks the other side for a sign of life; false comes when the connection ends first. */
  record Probe(Reply<Boolean> reachable) implements ConnectionMessage {}

  /**
   * The node is stopping.
   *
   * @param inFlightListener is told how many streams of the other side are not known to have ended
   *     there, now and at each change
   */
  record Drain(IntConsumer inFlightListener) implements ConnectionMessage {}

  /** Opens a stream for a request. */
  record Open(
      BackendServerId server,
      RequestHead head,
      Flux<Chunk> body,
      Mono<Void> cancelled,
      Reply<Either<Failure, BackendResponse>> reply)
      implements ConnectionMessage {}

  /** A body that is sent on a stream has given a chunk. */
  record BodyChunk(long streamId, Chunk chunk) implements ConnectionMessage {}

  /** A body that is sent on a stream has ended. */
  record BodyEnded(long streamId, long totalBytes) implements ConnectionMessage {}

  /** A body that is sent on a stream has failed. */
  record BodyFailed(long streamId, Failure failure) implements ConnectionMessage {}

  /** The reader of a received body wants more of it. */
  record ReaderDemand(long streamId, int chunks) implements ConnectionMessage {}

  /** The reader of a received answer no longer wants it. */
  record ReaderCancelled(long streamId) implements ConnectionMessage {}

  /** The exchange for a served stream has been answered. */
  record ExchangeCompleted(long streamId, Either<Failure, BackendResponse> result)
      implements ConnectionMessage {}
}
