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
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.ExchangeMessage;
import org.clementinepost.node.exchange.Exchanges;
import org.clementinepost.node.routing.HostReports;
import org.clementinepost.node.routing.RoutingMessage;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** The streams of the side that serves them: requests in, answers out. */
final class InboundStreams implements ConnectionStreams {
  /** One request that has not ended; its sender is there once the exchange has been answered. */
  private record InboundStream(
      Option<BodyReceiver> requestReceiver,
      Disposable exchange,
      Option<BodySender> responseSender) {}

  private final Address<ConnectionMessage> self;
  private final Consumer<PeerMessage> outgoing;
  private final Address<ExchangeMessage> exchanges;
  private final Address<RoutingMessage> routing;
  private final MonotonicClock clock;
  private final Supplier<NodeId> peer;
  private Map<Long, InboundStream> streams = HashMap.empty();
  private long lastStreamId;

  InboundStreams(
      Address<ConnectionMessage> self,
      Consumer<PeerMessage> wire,
      Address<ExchangeMessage> exchanges,
      Address<RoutingMessage> routing,
      MonotonicClock clock,
      Supplier<NodeId> peer) {
    this.self = self;
    this.outgoing = wire;
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
        HostReports.add(
                routing,
                clock,
                new RoutingMessage.Serving(open.server(), head.service(), peer.get()),
                Exchanges.request(
                    exchanges,
                    (cancelled, reply) ->
                        new ExchangeMessage.Send(open.server(), head, body, cancelled, reply)))
            .subscribe(answer -> onExchangeCompleted(streamId, answer));
    streams = streams.put(streamId, new InboundStream(request, exchange, Option.none()));
  }

  private void onExchangeCompleted(long streamId, Either<Failure, BackendResponse> answer) {
    if (!self.send(new ConnectionMessage.ExchangeCompleted(streamId, answer)).accepted()) {
      answer.forEach(BackendResponse::discard);
    }
  }

  private void receive(InboundStream served, StreamMessage message) {
    if (message instanceof StreamMessage.Demand demand) {
      served.responseSender().forEach(answer -> answer.onDemand(demand.chunks()));
      return;
    }
    if (message instanceof StreamMessage.Data data) {
      served.requestReceiver().forEach(request -> request.onChunk(data.content()));
      return;
    }
    if (message instanceof StreamMessage.End end) {
      served.requestReceiver().forEach(request -> request.onEnd(end.totalBytes()));
      return;
    }
    if (message instanceof StreamMessage.Failed failed) {
      served.requestReceiver().forEach(request -> request.fail(failed.failure()));
      return;
    }
    if (message instanceof StreamMessage.Cancel) {
      streams = streams.remove(message.streamId());
      release(served);
    }
  }

  @Override
  public void receiveLocal(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.ExchangeCompleted answered) {
      onExchangeCompleted(answered);
      return;
    }
    if (message instanceof ConnectionMessage.BodyChunk chunk) {
      sendIfOpen(chunk.streamId(), new StreamMessage.Data(chunk.streamId(), chunk.chunk()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyEnded ended) {
      sendFinal(ended.streamId(), new StreamMessage.End(ended.streamId(), ended.totalBytes()));
      return;
    }
    if (message instanceof ConnectionMessage.BodyFailed failed) {
      sendFinal(failed.streamId(), new StreamMessage.Failed(failed.streamId(), failed.failure()));
      return;
    }
    if (message instanceof ConnectionMessage.ReaderDemand demand) {
      sendIfOpen(demand.streamId(), new StreamMessage.Demand(demand.streamId(), demand.chunks()));
    }
  }

  private void onExchangeCompleted(ConnectionMessage.ExchangeCompleted answered) {
    long streamId = answered.streamId();
    Option<InboundStream> served = streams.get(streamId);
    if (served.isEmpty()) {
      answered.result().forEach(BackendResponse::discard);
      return;
    }
    if (answered.result().isLeft()) {
      sendFinal(streamId, new StreamMessage.Failed(streamId, answered.result().getLeft()));
      return;
    }
    BackendResponse answer = answered.result().get();
    BodySender sender = new BodySender(streamId, answer.body(), self);
    streams =
        streams.put(
            streamId,
            new InboundStream(
                served.get().requestReceiver(), served.get().exchange(), Option.some(sender)));
    outgoing.accept(new StreamMessage.ResponseStart(streamId, answer.head()));
  }

  private void sendIfOpen(long streamId, PeerMessage message) {
    if (streams.containsKey(streamId)) {
      outgoing.accept(message);
    }
  }

  private void sendFinal(long streamId, PeerMessage message) {
    sendIfOpen(streamId, message);
    streams = streams.remove(streamId);
  }

  private static void release(InboundStream served) {
    served.exchange().dispose();
    served.responseSender().forEach(BodySender::cancelAndRelease);
  }

  @Override
  public int size() {
    return streams.size();
  }

  /** It is the side that opened a stream that can repeat it. */
  @Override
  public void failIdempotent(Failure failure) {}

  @Override
  public void failAll(Failure failure) {
    Map<Long, InboundStream> ended = streams;
    streams = HashMap.empty();
    ended.values().forEach(served -> release(served));
    ended
        .values()
        .flatMap(InboundStream::requestReceiver)
        .forEach(request -> request.fail(failure));
  }
}
