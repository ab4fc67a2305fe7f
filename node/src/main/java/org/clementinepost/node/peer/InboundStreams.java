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
import org.clementinepost.api.ResultCode;
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

/** The streams on the acceptor's side of a connection: serves requests and sends responses. */
final class InboundStreams implements ConnectionStreams {
  /** A request in flight; its response sender is present once the backend server has responded. */
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
      Consumer<PeerMessage> outgoing,
      Address<ExchangeMessage> exchanges,
      Address<RoutingMessage> routing,
      MonotonicClock clock,
      Supplier<NodeId> peer) {
    this.self = self;
    this.outgoing = outgoing;
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
    streams.get(message.streamId()).forEach(stream -> receive(stream, message));
  }

  /** Opens a stream; an id that doesn't increase is a duplicate, which must not run again. */
  private void open(StreamMessage.Open open) {
    long streamId = open.streamId();
    if (streamId <= lastStreamId) {
      return;
    }
    lastStreamId = streamId;
    RequestHead head = open.head();
    Option<BodyReceiver> receiver =
        head.bodyBytes() == RequestHead.NO_BODY
            ? Option.none()
            : Option.some(new BodyReceiver(streamId, self));
    Flux<Chunk> body = receiver.map(BodyReceiver::body).getOrElse(Flux.empty());
    Disposable exchange =
        HostReports.attachReport(
                routing,
                clock,
                new RoutingMessage.HostedRequestStarted(open.server(), head, peer.get()),
                Exchanges.request(
                    exchanges,
                    (cancelled, reply) ->
                        new ExchangeMessage.Send(open.server(), head, body, cancelled, reply)))
            .subscribe(result -> onExchangeCompleted(streamId, result));
    streams = streams.put(streamId, new InboundStream(receiver, exchange, Option.none()));
  }

  private void onExchangeCompleted(long streamId, Either<Failure, BackendResponse> result) {
    if (!self.send(new ConnectionMessage.ExchangeCompleted(streamId, result)).accepted()) {
      result.forEach(BackendResponse::discard);
    }
  }

  private void receive(InboundStream stream, StreamMessage message) {
    if (message instanceof StreamMessage.Demand demand) {
      stream.responseSender().forEach(sender -> sender.onDemand(demand.chunks()));
      return;
    }
    if (message instanceof StreamMessage.Data data) {
      stream.requestReceiver().forEach(receiver -> receiver.onChunk(data.content()));
      return;
    }
    if (message instanceof StreamMessage.End end) {
      stream.requestReceiver().forEach(receiver -> receiver.onEnd(end.totalBytes()));
      return;
    }
    if (message instanceof StreamMessage.Failed failed) {
      stream.requestReceiver().forEach(receiver -> receiver.fail(failed.failure()));
      return;
    }
    if (message instanceof StreamMessage.Cancel) {
      streams = streams.remove(message.streamId());
      breakOff(stream, Failure.of(ResultCode.REQUEST_BROKEN_OFF, "cancelled by the ingress node"));
    }
  }

  @Override
  public void receiveLocal(ConnectionMessage message) {
    if (message instanceof ConnectionMessage.ExchangeCompleted completed) {
      onExchangeCompleted(completed);
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

  private void onExchangeCompleted(ConnectionMessage.ExchangeCompleted completed) {
    long streamId = completed.streamId();
    Option<InboundStream> stream = streams.get(streamId);
    if (stream.isEmpty()) {
      completed.result().forEach(BackendResponse::discard);
      return;
    }
    if (completed.result().isLeft()) {
      sendFinal(streamId, new StreamMessage.Failed(streamId, completed.result().getLeft()));
      return;
    }
    BackendResponse response = completed.result().get();
    BodySender sender = new BodySender(streamId, response.body(), self);
    streams =
        streams.put(
            streamId,
            new InboundStream(
                stream.get().requestReceiver(), stream.get().exchange(), Option.some(sender)));
    outgoing.accept(new StreamMessage.ResponseStart(streamId, response.head()));
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

  /** Cancels the exchange of a stream, and fails a request body that is not complete. */
  private static void breakOff(InboundStream stream, Failure failure) {
    stream.exchange().dispose();
    stream.responseSender().forEach(BodySender::cancelAndRelease);
    stream.requestReceiver().forEach(receiver -> receiver.fail(failure));
  }

  @Override
  public int size() {
    return streams.size();
  }

  /** Does nothing, since only the initiator of a stream can retry its request. */
  @Override
  public void failIdempotent(Failure failure) {}

  @Override
  public void failAll(Failure failure) {
    Map<Long, InboundStream> failed = streams;
    streams = HashMap.empty();
    failed.values().forEach(stream -> breakOff(stream, failure));
  }
}
