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
import org.clementinepost.node.exchange.Answer;

/** The streams of the side that opens them: requests out, answers in. */
final class OpenedStreams implements StreamRole {
  /** An answer that comes within this time of its deadline is not held until it is whole. */
  private static final long LAST_MOMENT_MILLIS = 100;

  /** One request that has not ended; its answer is there once the answer's head has come. */
  private record Opened(
      boolean repeatable,
      long lastMomentNanos,
      BodySender request,
      Option<ArrivingAnswer> answer,
      Reply<Either<Failure, Answer>> reply) {

    Opened answeredBy(ArrivingAnswer arriving) {
      return new Opened(repeatable, lastMomentNanos, request, Option.some(arriving), reply);
    }

    boolean isHandedOn() {
      return answer.exists(ArrivingAnswer::isHandedOn);
    }
  }

  private final Address<ConnectionMessage> self;
  private final Consumer<PeerMessage> wire;
  private final MonotonicClock clock;
  private Map<Long, Opened> streams = HashMap.empty();
  private long nextStreamId = 1;

  OpenedStreams(Address<ConnectionMessage> self, Consumer<PeerMessage> wire, MonotonicClock clock) {
    this.self = self;
    this.wire = wire;
    this.clock = clock;
  }

  private void open(ConnectionMessage.Open open) {
    long streamId = nextStreamId++;
    BodySender request = new BodySender(streamId, open.body(), self);
    long holdMillis = open.head().timeoutMillis() - LAST_MOMENT_MILLIS;
    Opened opened =
        new Opened(
            open.head().idempotent(),
            clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(holdMillis),
            request,
            Option.none(),
            open.reply());
    streams = streams.put(streamId, opened);
    wire.accept(new StreamMessage.Open(streamId, open.server(), open.head()));
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

  private void receive(Opened opened, StreamMessage message) {
    if (message instanceof StreamMessage.Demand demand) {
      opened.request().demand(demand.chunks());
      return;
    }
    if (message instanceof StreamMessage.ResponseStart answered) {
      answered(opened, answered);
      return;
    }
    if (message instanceof StreamMessage.Data data) {
      opened.answer().forEach(answer -> answer.chunk(data.content()));
      return;
    }
    if (message instanceof StreamMessage.End end) {
      remove(message.streamId());
      opened.answer().forEach(answer -> answer.end(end.totalBytes()));
      opened.request().abandon();
      return;
    }
    if (message instanceof StreamMessage.Failed failed) {
      remove(message.streamId());
      fail(opened, failed.failure());
    }
  }

  private void answered(Opened opened, StreamMessage.ResponseStart answered) {
    if (opened.answer().isDefined()) {
      return;
    }
    long streamId = answered.streamId();
    ArrivingAnswer arriving =
        new ArrivingAnswer(
            answered.head(),
            new BodyReceiver(streamId, self),
            chunks -> wire.accept(new StreamMessage.Demand(streamId, chunks)),
            () -> clock.nowNanos() >= opened.lastMomentNanos(),
            opened.reply());
    streams = streams.put(streamId, opened.answeredBy(arriving));
  }

  /** Ends a stream; a request that a refusal leaves unread can still be sent elsewhere. */
  private static void fail(Opened opened, Failure failure) {
    if (opened.isHandedOn()) {
      opened.request().abandon();
    } else {
      opened.request().cancelIfStarted();
    }
    opened
        .answer()
        .peek(answer -> answer.fail(failure))
        .onEmpty(() -> opened.reply().send(Either.left(failure)));
  }

  @Override
  public void local(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Open open) {
      open(open);
      return;
    }
    if (message instanceof ConnectionMessage.BodyChunk chunk) {
      ifKnown(chunk.streamId(), new StreamMessage.Data(chunk.streamId(), chunk.chunk()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyEnded ended) {
      ifKnown(ended.streamId(), new StreamMessage.End(ended.streamId(), ended.totalBytes()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyFailed failed) {
      ifKnown(failed.streamId(), new StreamMessage.Failed(failed.streamId(), failed.failure()));
      return;
    }
    if (message instanceof ConnectionMessage.ReaderDemand demand) {
      ifKnown(demand.streamId(), new StreamMessage.Demand(demand.streamId(), demand.chunks()));
      return;
    }
    if (message instanceof ConnectionMessage.ReaderCancelled cancelled) {
      cancel(cancelled.streamId());
    }
  }

  private void ifKnown(long streamId, PeerMessage message) {
    if (streams.containsKey(streamId)) {
      wire.accept(message);
    }
  }

  private void cancel(long streamId) {
    Option<Opened> opened = streams.get(streamId);
    if (opened.isEmpty()) {
      return;
    }
    remove(streamId);
    opened.get().request().cancelIfStarted();
    wire.accept(new StreamMessage.Cancel(streamId));
  }

  private void remove(long streamId) {
    streams = streams.remove(streamId);
  }

  @Override
  public int size() {
    return streams.size();
  }

  @Override
  public void endRepeatable(Failure failure) {
    streams
        .filterValues(opened -> opened.repeatable() && !opened.isHandedOn())
        .forEach(
            (streamId, opened) -> {
              cancel(streamId);
              opened.reply().send(Either.left(failure));
            });
  }

  @Override
  public void endAll(Failure failure) {
    Map<Long, Opened> ended = streams;
    streams = HashMap.empty();
    ended.values().forEach(opened -> fail(opened, failure));
  }
}
