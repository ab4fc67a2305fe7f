package org.clementinepost.node.routing;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.BackendResponse;
import reactor.core.publisher.Mono;

/** Gathers the host's evidence of its own backend servers, and adds its report to each answer. */
public final class HostReports {
  private HostReports() {}

  /**
   * Watches an exchange with a backend server of this host.
   *
   * @param routing the routing service of this node
   * @param clock the clock that times an exchange without an answer
   * @param serving the request
   * @param exchange the exchange
   */
  public static Mono<Either<Failure, BackendResponse>> add(
      Address<RoutingMessage> routing,
      MonotonicClock clock,
      RoutingMessage.Serving serving,
      Mono<Either<Failure, BackendResponse>> exchange) {
    return Mono.defer(
        () -> {
          routing.send(serving);
          AtomicBoolean ended = new AtomicBoolean();
          long startNanos = clock.nowNanos();
          return exchange
              .doOnNext(result -> ended.set(true))
              .doOnCancel(
                  () -> {
                    if (!ended.get()) {
                      routing.send(ended(serving.server(), Option.none(), 0));
                    }
                  })
              .flatMap(
                  result ->
                      add(
                          routing,
                          serving.server(),
                          TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startNanos),
                          result));
        });
  }

  private static Mono<Either<Failure, BackendResponse>> add(
      Address<RoutingMessage> routing,
      BackendServerId server,
      long elapsedMicros,
      Either<Failure, BackendResponse> result) {
    if (result.isLeft()) {
      routing.send(ended(server, Option.some(result.getLeft()), elapsedMicros));
      return Mono.just(result);
    }
    BackendResponse answer = result.get();
    return report(routing, server, answer)
        .map(report -> new BackendResponse(answer.head().withReport(report), answer.body()))
        .map(reported -> Either.<Failure, BackendResponse>right(reported))
        .doOnCancel(answer::discard);
  }

  private static RoutingMessage.Served ended(
      BackendServerId server, Option<Failure> failure, long elapsedMicros) {
    return new RoutingMessage.Served(server, failure, 0, elapsedMicros, Reply.ignored());
  }

  /** A routing service that cannot keep up holds no answer back. */
  private static Mono<HostReport> report(
      Address<RoutingMessage> routing, BackendServerId server, BackendResponse answer) {
    return Mono.create(
        sink -> {
          RoutingMessage.Served served =
              new RoutingMessage.Served(
                  server,
                  Option.none(),
                  answer.head().status(),
                  answer.head().serverMicros(),
                  sink::success);
          if (!routing.send(served).accepted()) {
            sink.success(HostReport.HEALTHY);
          }
        });
  }
}
