package org.clementinepost.node.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.api.peer.StreamMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.node.exchange.Answer;
import org.clementinepost.node.exchange.ExchangeMessage;
import org.clementinepost.node.exchange.Exchanges;
import org.clementinepost.node.routing.HostReports;
import org.clementinepost.node.routing.RoutingMessage;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** The streams of the side that serves them: requests in, answers out. */
final class ServedStreams implements StreamRole {
  /** One request that has not ended; its sender is there once the exchange has been answered. */
  private record Served(
      Option<BodyReceiver> request, Disposable exchange, Option<BodySender> answer) {}

  private final Address<ConnectionMessage> self;
  private final Consumer<PeerMessage> wire;
  private final Address<ExchangeMessage> exchanges;
  private final Address<RoutingMessage> routing;
  private final MonotonicClock clock;
  private final Supplier<NodeId> peer;
  private Map<Long, Served> streams = HashMap.empty();
  private long lastStreamId;

  ServedStreams(
      Address<ConnectionMessage> self,
      Consumer<PeerMessage> wire,
      Address<ExchangeMessage> exchanges,
      Address<RoutingMessage> routing,
      MonotonicClock clock,
      Supplier<NodeId> peer) {
    this.self = self;
    this.wire = wire;
    this.exchanges = exchanges;
    this.routing = routing;
    this.clock = clock;
    this.peer = peer;
  }

  @Override
  public void receive(StreamMessage message) {
    if (message instanceof StreamMessage.Open open) {
      open(open);
      return;
    }
    streams.get(message.streamId()).forEach(served -> receive(served, message));
  }

  /** A stream id that does not grow is a repetition, which must not run a request again. */
  private void open(StreamMessage.Open open) {
    long streamId = open.streamId();
    if (streamId <= lastStreamId) {
      return;
    }
    lastStreamId = streamId;
    RequestHead head = open.head();
    Option<BodyReceiver> request =
        head.bodyBytes() == RequestHead.NO_BODY
            ? Option.none()
            : Option.some(new BodyReceiver(streamId, self));
    Flux<Chunk> body = request.map(BodyReceiver::body).getOrElse(Flux.empty());
    Disposable exchange =
        HostReports.attachReport(
                routing,
                clock,
                new RoutingMessage.HostedRequestStarted(open.server(), head.service(), peer.get()),
                Exchanges.ask(
                    exchanges,
                    (cancelled, reply) ->
                        new ExchangeMessage.Send(open.server(), head, body, cancelled, reply)))
            .subscribe(answer -> answered(streamId, answer));
    streams = streams.put(streamId, new Served(request, exchange, Option.none()));
  }

  private void answered(long streamId, Either<Failure, Answer> answer) {
    if (!self.send(new ConnectionMessage.Answered(streamId, answer)).accepted()) {
      answer.forEach(Answer::discard);
    }
  }

  private void receive(Served served, StreamMessage message) {
    if (message instanceof StreamMessage.Demand demand) {
      served.answer().forEach(answer -> answer.demand(demand.chunks()));
      return;
    }
    if (message instanceof StreamMessage.Data data) {
      served.request().forEach(request -> request.chunk(data.content()));
      return;
    }
    if (message instanceof StreamMessage.End end) {
      served.request().forEach(request -> request.end(end.totalBytes()));
      return;
    }
    if (message instanceof StreamMessage.Failed failed) {
      served.request().forEach(request -> request.fail(failed.failure()));
      return;
    }
    if (message instanceof StreamMessage.Cancel) {
      streams = streams.remove(message.streamId());
      end(served);
    }
  }

  @Override
  public void local(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.Answered answered) {
      answered(answered);
      return;
    }
    if (message instanceof ConnectionMessage.BodyChunk chunk) {
      ifKnown(chunk.streamId(), new StreamMessage.Data(chunk.streamId(), chunk.chunk()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyEnded ended) {
      last(ended.streamId(), new StreamMessage.End(ended.streamId(), ended.totalBytes()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyFailed failed) {
      last(failed.streamId(), new StreamMessage.Failed(failed.streamId(), failed.failure()));
      return;
    }
    if (message instanceof ConnectionMessage.ReaderDemand demand) {
      ifKnown(demand.streamId(), new StreamMessage.Demand(demand.streamId(), demand.chunks()));
    }
  }

  private void answered(ConnectionMessage.Answered answered) {
    long streamId = answered.streamId();
    Option<Served> served = streams.get(streamId);
    if (served.isEmpty()) {
      answered.answer().forEach(Answer::discard);
      return;
    }
    if (answered.answer().isLeft()) {
      last(streamId, new StreamMessage.Failed(streamId, answered.answer().getLeft()));
      return;
    }
    Answer answer = answered.answer().get();
    BodySender sender = new BodySender(streamId, answer.body(), self);
    streams =
        streams.put(
            streamId,
            new Served(served.get().request(), served.get().exchange(), Option.some(sender)));
    wire.accept(new StreamMessage.ResponseStart(streamId, answer.head()));
  }

  private void ifKnown(long streamId, PeerMessage message) {
    if (streams.containsKey(streamId)) {
      wire.accept(message);
    }
  }

  private void last(long streamId, PeerMessage message) {
    ifKnown(streamId, message);
    streams = streams.remove(streamId);
  }

  private static void end(Served served) {
    served.exchange().dispose();
    served.answer().forEach(BodySender::abandon);
  }

  @Override
  public int size() {
    return streams.size();
  }

  /** It is the side that opened a stream that can repeat it. */
  @Override
  public void endRepeatable(Failure failure) {}

  @Override
  public void endAll(Failure failure) {
    Map<Long, Served> ended = streams;
    streams = HashMap.empty();
    ended.values().forEach(served -> end(served));
    ended.values().flatMap(Served::request).forEach(request -> request.fail(failure));
  }
}
