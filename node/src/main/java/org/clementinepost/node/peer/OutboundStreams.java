package org.clementinepost.node.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinepost.api.Failure;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.api.peer.StreamMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.BackendResponse;

/** The streams of the side that opens them: requests out, answers in. */
final class OutboundStreams implements ConnectionStreams {
  /** An answer that comes within this time of its deadline is not held until it is whole. */
  private static final long UNBUFFERED_MILLIS = 100;

  /** One request that has not ended; its answer is there once the answer's head has come. */
  private record OutboundStream(
      boolean idempotent,
      long bufferUntilNanos,
      BodySender requestSender,
      Option<IncomingResponse> response,
      Reply<Either<Failure, BackendResponse>> reply) {

    OutboundStream withResponse(IncomingResponse arriving) {
      return new OutboundStream(
          idempotent, bufferUntilNanos, requestSender, Option.some(arriving), reply);
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
      Address<ConnectionMessage> self, Consumer<PeerMessage> wire, MonotonicClock clock) {
    this.self = self;
    this.outgoing = wire;
    this.clock = clock;
  }

  private void open(ConnectionMessage.Open open) {
    long streamId = nextStreamId++;
    BodySender request = new BodySender(streamId, open.body(), self);
    long holdMillis = open.head().timeoutMillis() - UNBUFFERED_MILLIS;
    OutboundStream opened =
        new OutboundStream(
            open.head().idempotent(),
            clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(holdMillis),
            request,
            Option.none(),
            open.reply());
    streams = streams.put(streamId, opened);
    outgoing.accept(new StreamMessage.Open(streamId, open.server(), open.head()));
    open.cancelled()
        .subscribe(
            nothing -> {},
            error -> {},
            () -> self.send(new ConnectionMessage.ReaderCancelled(streamId)));
  }

  @Override
  public void receive(StreamMessage message) {
    streams.get(message.streamId()).forEach(opened -> receive(opened, message));
  }

  private void receive(OutboundStream opened, StreamMessage message) {
    if (message instanceof StreamMessage.Demand demand) {
      opened.requestSender().onDemand(demand.chunks());
      return;
    }
    if (message instanceof StreamMessage.ResponseStart answered) {
      onResponseStart(opened, answered);
      return;
    }
    if (message instanceof StreamMessage.Data data) {
      opened.response().forEach(answer -> answer.onChunk(data.content()));
      return;
    }
    if (message instanceof StreamMessage.End end) {
      remove(message.streamId());
      opened.response().forEach(answer -> answer.onEnd(end.totalBytes()));
      opened.requestSender().cancelAndRelease();
      return;
    }
    if (message instanceof StreamMessage.Failed failed) {
      remove(message.streamId());
      fail(opened, failed.failure());
    }
  }

  private void onResponseStart(OutboundStream opened, StreamMessage.ResponseStart answered) {
    if (opened.response().isDefined()) {
      return;
    }
    long streamId = answered.streamId();
    IncomingResponse arriving =
        new IncomingResponse(
            answered.head(),
            new BodyReceiver(streamId, self),
            chunks -> outgoing.accept(new StreamMessage.Demand(streamId, chunks)),
            () -> clock.nowNanos() >= opened.bufferUntilNanos(),
            opened.reply());
    streams = streams.put(streamId, opened.withResponse(arriving));
  }

  /** Ends a stream; a request that a refusal leaves unread can still be sent elsewhere. */
  private static void fail(OutboundStream opened, Failure failure) {
    if (opened.isDelivered()) {
      opened.requestSender().cancelAndRelease();
    } else {
      opened.requestSender().cancelIfStarted();
    }
    opened
        .response()
        .peek(answer -> answer.fail(failure))
        .onEmpty(() -> opened.reply().send(Either.left(failure)));
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
    Option<OutboundStream> opened = streams.get(streamId);
    if (opened.isEmpty()) {
      return;
    }
    remove(streamId);
    opened.get().requestSender().cancelIfStarted();
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
        .filterValues(opened -> opened.idempotent() && !opened.isDelivered())
        .forEach(
            (streamId, opened) -> {
              cancel(streamId);
              opened.reply().send(Either.left(failure));
            });
  }

  @Override
  public void failAll(Failure failure) {
    Map<Long, OutboundStream> ended = streams;
    streams = HashMap.empty();
    ended.values().forEach(opened -> fail(opened, failure));
  }
}
