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

/** A message to the task of a connection. */
public sealed interface ConnectionMessage {
  /** A frame has arrived. */
  record FrameReceived(Chunk content) implements ConnectionMessage {}

  /** The socket has been closed. */
  record Disconnected() implements ConnectionMessage {}

  /** Triggers the periodic check for received frames. */
  record Tick() implements ConnectionMessage {}

  /** Sends a message to the peer. */
  record Send(PeerMessage message) implements ConnectionMessage {}

  /** Sets whether the connection stays open, with keepalive pings, while it carries no stream. */
  record SetPersistent(boolean persistent) implements ConnectionMessage {}

  /** Pings the peer; the reply is false if the connection closes before a frame arrives. */
  record Probe(Reply<Boolean> reachable) implements ConnectionMessage {}

  /**
   * The node is stopping.
   *
   * @param inFlightListener receives, at once and on each change, the number of streams that the
   *     peer has opened and whose end it may not have received
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

  /** A body that is sent on a stream has produced a chunk. */
  record BodyChunk(long streamId, Chunk chunk) implements ConnectionMessage {}

  /** A body that is sent on a stream has ended. */
  record BodyEnded(long streamId, long totalBytes) implements ConnectionMessage {}

  /** A body that is sent on a stream has failed. */
  record BodyFailed(long streamId, Failure failure) implements ConnectionMessage {}

  /** The reader of a received body requests more chunks. */
  record ReaderDemand(long streamId, int chunks) implements ConnectionMessage {}

  /** The requester or the reader of a response no longer needs it. */
  record ReaderCancelled(long streamId) implements ConnectionMessage {}

  /** The exchange with the backend server for an inbound stream has a result. */
  record ExchangeCompleted(long streamId, Either<Failure, BackendResponse> result)
      implements ConnectionMessage {}
}
