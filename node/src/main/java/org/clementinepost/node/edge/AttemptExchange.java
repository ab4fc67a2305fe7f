package org.clementinepost.node.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Registry;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.BodyBuffer;
import org.clementinepost.node.exchange.BodyFailedException;
import org.clementinepost.node.exchange.ExchangeMessage;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.node.exchange.Exchanges;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.node.routing.HostReports;
import org.clementinepost.node.routing.RoutingMessage;
import org.clementinepost.node.routing.RoutingService;
import org.clementinepost.policy.routing.Placement;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Sends an attempt to the host of its backend server and reports its end. */
final class AttemptExchange {
  /**
   * The host enforces the deadline too; the ingress waits this much longer to receive the host's
   * failure.
   */
  private static final long HOST_GRACE_MILLIS = 20;

  /** A backend server's error response of up to this length is buffered during a retry. */
  private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 << 10;

  private final NodeId self;
  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final Address<RoutingMessage> routing;
  private final Address<ExchangeMessage> exchanges;
  private final Address<PeerServiceMessage> peers;

  AttemptExchange(NodeId self, MonotonicClock clock, Scheduler scheduler, Registry registry) {
    this.self = self;
    this.clock = clock;
    this.scheduler = scheduler;
    this.routing = registry.find(RoutingService.NAME);
    this.exchanges = registry.find(ExchangeService.NAME);
    this.peers = registry.find(PeerService.NAME);
  }

  /** Sends an attempt; its result is a timeout failure shortly after the deadline. */
  Mono<Either<Failure, BackendResponse>> send(
      Placement placement, RequestHead head, RequestBody body) {
    Endpoint endpoint = placement.endpoint();
    AttemptReporter reporter = new AttemptReporter(routing, endpoint, head, clock);
    return sendToHost(endpoint, head, body)
        .timeout(Duration.ofMillis(head.timeoutMillis() + HOST_GRACE_MILLIS), scheduler)
        .onErrorResume(
            TimeoutException.class,
            error -> Mono.just(Either.left(Failure.of(ResultCode.BACKEND_TIMED_OUT))))
        .map(result -> reporter.observe(result))
        .doOnCancel(reporter::onCancelled);
  }

  private Mono<Either<Failure, BackendResponse>> sendToHost(
      Endpoint endpoint, RequestHead head, RequestBody body) {
    if (endpoint.host().equals(self)) {
      return HostReports.attachReport(
          routing,
          clock,
          new RoutingMessage.HostedRequestStarted(endpoint.server(), head, self),
          Exchanges.request(
              exchanges,
              (cancelled, reply) ->
                  new ExchangeMessage.Send(
                      endpoint.server(), head, body.chunks(), cancelled, reply)));
    }
    return Exchanges.request(
        peers,
        (cancelled, reply) ->
            new PeerServiceMessage.Exchange(
                endpoint.host(), endpoint.server(), head, body.chunks(), cancelled, reply));
  }

  /** Reads the start of a response's body, which is whole if it is short enough. */
  Mono<Either<Failure, BodyBuffer.BufferedBody>> buffer(
      BackendResponse response, long remainingMillis) {
    return BodyBuffer.read(response.body(), MAX_BUFFERED_RESPONSE_BYTES, Long.MAX_VALUE)
        .map(Either::<Failure, BodyBuffer.BufferedBody>right)
        .timeout(Duration.ofMillis(remainingMillis + HOST_GRACE_MILLIS), scheduler)
        .onErrorResume(
            TimeoutException.class,
            error -> Mono.just(Either.left(Failure.of(ResultCode.BACKEND_TIMED_OUT))))
        .onErrorResume(error -> Mono.just(Either.left(BodyFailedException.failureOf(error))));
  }
}
