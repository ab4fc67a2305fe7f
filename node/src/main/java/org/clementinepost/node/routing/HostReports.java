package org.clementinepost.node.routing;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.BackendResponse;
import reactor.core.publisher.Mono;

/**
 * Reports the requests at this host's backend servers to the routing service, and adds the
 * resulting health report to each response.
 */
public final class HostReports {
  private HostReports() {}

  /**
   * Reports the start and the end of an exchange with a backend server of this host, and attaches
   * the health report to its response.
   *
   * @param routing the routing service of this node
   * @param clock measures the duration of an exchange without a response
   * @param started the message that reports the start
   * @param exchange the exchange, which begins on subscription
   */
  public static Mono<Either<Failure, BackendResponse>> attachReport(
      Address<RoutingMessage> routing,
      MonotonicClock clock,
      RoutingMessage.HostedRequestStarted started,
      Mono<Either<Failure, BackendResponse>> exchange) {
    return Mono.defer(
        () -> {
          routing.send(started);
          AtomicBoolean ended = new AtomicBoolean();
          long startNanos = clock.nowNanos();
          return exchange
              .doOnNext(result -> ended.set(true))
              .doOnCancel(
                  () -> {
                    if (!ended.get()) {
                      routing.send(requestEnded(started, Option.none(), 0));
                    }
                  })
              .flatMap(
                  result ->
                      attachReport(
                          routing,
                          started,
                          TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startNanos),
                          result));
        });
  }

  private static Mono<Either<Failure, BackendResponse>> attachReport(
      Address<RoutingMessage> routing,
      RoutingMessage.HostedRequestStarted started,
      long elapsedMicros,
      Either<Failure, BackendResponse> result) {
    if (result.isLeft()) {
      routing.send(requestEnded(started, Option.some(result.getLeft()), elapsedMicros));
      return Mono.just(result);
    }
    BackendResponse response = result.get();
    return endAndRequestReport(routing, started, response)
        .map(report -> new BackendResponse(response.head().withReport(report), response.body()))
        .map(withReport -> Either.<Failure, BackendResponse>right(withReport))
        .doOnCancel(response::discard);
  }

  private static RoutingMessage.HostedRequestEnded requestEnded(
      RoutingMessage.HostedRequestStarted started, Option<Failure> failure, long elapsedMicros) {
    return new RoutingMessage.HostedRequestEnded(
        started.server(), started.head(), failure, 0, elapsedMicros, Reply.ignored());
  }

  /**
   * Reports the end of a request and requests the health report.
   *
   * <p>If the routing service is overloaded, the report is {@code HEALTHY}, so that the response is
   * not delayed.
   */
  private static Mono<HostReport> endAndRequestReport(
      Address<RoutingMessage> routing,
      RoutingMessage.HostedRequestStarted started,
      BackendResponse response) {
    return Mono.create(
        sink -> {
          RoutingMessage.HostedRequestEnded ended =
              new RoutingMessage.HostedRequestEnded(
                  started.server(),
                  started.head(),
                  Option.none(),
                  response.head().status(),
                  response.head().serverMicros(),
                  sink::success);
          if (!routing.send(ended).accepted()) {
            sink.success(HostReport.HEALTHY);
          }
        });
  }
}
