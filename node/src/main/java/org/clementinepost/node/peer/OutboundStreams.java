package org.clementinepost.node.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.api.peer.StreamMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.BufferBudget;

/** The streams on the initiator's side of a connection: sends requests and receives responses. */
final class OutboundStreams implements ConnectionStreams {
  /**
   * A response is streamed instead of buffered when the deadline of its request is less than this
   * away.
   */
  private static final long UNBUFFERED_MILLIS = 100;

  /** A request in flight; its response is present once the response head has arrived. */
  private record OutboundStream(
      boolean idempotent,
      long bufferUntilNanos,
      BodySender requestSender,
      Option<IncomingResponse> response,
      Reply<Either<Failure, BackendResponse>> reply) {

    OutboundStream withResponse(IncomingResponse incoming) {
      return new OutboundStream(
          idempotent, bufferUntilNanos, requestSender, Option.some(incoming), reply);
    }

    boolean isDelivered() {
      return response.exists(IncomingResponse::isDelivered);
    }
  }

  private final Address<ConnectionMessage> self;
  private final Consumer<PeerMessage> outgoing;
  private final MonotonicClock clock;
  private Map<Long, OutboundStream> streams = HashMap.empty();
  private long nextStreamId = 1;

  OutboundStreams(
      Address<ConnectionMessage> self, Consumer<PeerMessage> outgoing, MonotonicClock clock) {
    this.self = self;
    this.outgoing = outgoing;
    this.clock = clock;
  }

  /** Opens a stream, unless its request has been cancelled while the message waited. */
  private void open(ConnectionMessage.Open open) {
    CompletableFuture<Void> cancelled = open.cancelled().toFuture();
    if (cancelled.isDone()) {
      return;
    }
    long streamId = nextStreamId++;
    BodySender sender = new BodySender(streamId, open.body(), self);
    long bufferMillis = open.head().timeoutMillis() - UNBUFFERED_MILLIS;
    OutboundStream stream =
        new OutboundStream(
            open.head().idempotent(),
            clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(bufferMillis),
            sender,
            Option.none(),
            open.reply());
    streams = streams.put(streamId, stream);
    outgoing.accept(new StreamMessage.Open(streamId, open.server(), open.head()));
    CompletableFuture<Void> unused =
        cancelled.thenRun(() -> self.send(new ConnectionMessage.ReaderCancelled(streamId)));
  }

  @Override
  public void receive(StreamMessage message) {
    streams.get(message.streamId()).forEach(stream -> receive(stream, message));
  }

  private void receive(OutboundStream stream, StreamMessage message) {
    if (message instanceof StreamMessage.Demand demand) {
      stream.requestSender().onDemand(demand.chunks());
      return;
    }
    if (message instanceof StreamMessage.ResponseStart start) {
      onResponseStart(stream, start);
      return;
    }
    if (message instanceof StreamMessage.Data data) {
      stream.response().forEach(response -> response.onChunk(data.content()));
      return;
    }
    if (message instanceof StreamMessage.End end) {
      remove(message.streamId());
      stream.response().forEach(response -> response.onEnd(end.totalBytes()));
      stream.requestSender().cancelAndRelease();
      return;
    }
    if (message instanceof StreamMessage.Failed failed) {
      remove(message.streamId());
      fail(stream, failed.failure());
    }
  }

  private void onResponseStart(OutboundStream stream, StreamMessage.ResponseStart start) {
    if (stream.response().isDefined()) {
      return;
    }
    long streamId = start.streamId();
    if (!start.head().hasFinalStatus()) {
      cancel(streamId);
      fail(stream, invalidStatus(start.head()));
      return;
    }
    IncomingResponse response =
        new IncomingResponse(
            start.head(),
            new BodyReceiver(streamId, self),
            chunks -> outgoing.accept(new StreamMessage.Demand(streamId, chunks)),
            () -> clock.nowNanos() >= stream.bufferUntilNanos(),
            stream.reply(),
            BufferBudget.PROCESS);
    streams = streams.put(streamId, stream.withResponse(response));
  }

  private static Failure invalidStatus(ResponseHead head) {
    return Failure.of(
        ResultCode.BACKEND_ANSWER_LOST, head.server() + ": response with status " + head.status());
  }

  /**
   * Fails a request. Its body is released only if the response has been delivered; otherwise an
   * unread body can be sent to another host.
   */
  private static void fail(OutboundStream stream, Failure failure) {
    if (stream.isDelivered()) {
      stream.requestSender().cancelAndRelease();
    } else {
      stream.requestSender().cancelIfStarted();
    }
    stream
        .response()
        .peek(response -> response.fail(failure))
        .onEmpty(() -> stream.reply().send(Either.left(failure)));
  }

  @Override
  public void receiveLocal(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Open open) {
      open(open);
      return;
    }
    if (message instanceof ConnectionMessage.BodyChunk chunk) {
      sendIfOpen(chunk.streamId(), new StreamMessage.Data(chunk.streamId(), chunk.chunk()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyEnded ended) {
      sendIfOpen(ended.streamId(), new StreamMessage.End(ended.streamId(), ended.totalBytes()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyFailed failed) {
      sendIfOpen(failed.streamId(), new StreamMessage.Failed(failed.streamId(), failed.failure()));
      return;
    }
    if (message instanceof ConnectionMessage.ReaderDemand demand) {
      sendIfOpen(demand.streamId(), new StreamMessage.Demand(demand.streamId(), demand.chunks()));
      return;
    }
    if (message instanceof ConnectionMessage.ReaderCancelled cancelled) {
      cancel(cancelled.streamId());
    }
  }

  private void sendIfOpen(long streamId, PeerMessage message) {
    if (streams.containsKey(streamId)) {
      outgoing.accept(message);
    }
  }

  private void cancel(long streamId) {
    Option<OutboundStream> stream = streams.get(streamId);
    if (stream.isEmpty()) {
      return;
    }
    remove(streamId);
    stream.get().requestSender().cancelIfStarted();
    stream.get().response().forEach(IncomingResponse::cancel);
    outgoing.accept(new StreamMessage.Cancel(streamId));
  }

  private void remove(long streamId) {
    streams = streams.remove(streamId);
  }

  @Override
  public int size() {
    return streams.size();
  }

  @Override
  public void failIdempotent(Failure failure) {
    streams
        .filterValues(stream -> stream.idempotent() && !stream.isDelivered())
        .forEach(
            (streamId, stream) -> {
              cancel(streamId);
              stream.reply().send(Either.left(failure));
            });
  }

  @Override
  public void failAll(Failure failure) {
    Map<Long, OutboundStream> failed = streams;
    streams = HashMap.empty();
    failed.values().forEach(stream -> fail(stream, failure));
  }
}
