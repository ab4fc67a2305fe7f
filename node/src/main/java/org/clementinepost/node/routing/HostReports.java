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
import org.clementinepost.node.exchange.Answer;
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
  public static Mono<Either<Failure, Answer>> attachReport(
      Address<RoutingMessage> routing,
      MonotonicClock clock,
      RoutingMessage.HostedRequestStarted serving,
      Mono<Either<Failure, Answer>> exchange) {
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
                      routing.send(requestEnded(serving.server(), Option.none(), 0));
                    }
                  })
              .flatMap(
                  result ->
                      attachReport(
                          routing,
                          serving.server(),
                          TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startNanos),
                          result));
        });
  }

  private static Mono<Either<Failure, Answer>> attachReport(
      Address<RoutingMessage> routing,
      BackendServerId server,
      long elapsedMicros,
      Either<Failure, Answer> result) {
    if (result.isLeft()) {
      routing.send(requestEnded(server, Option.some(result.getLeft()), elapsedMicros));
      return Mono.just(result);
    }
    Answer answer = result.get();
    return endAndRequestReport(routing, server, answer)
        .map(report -> new Answer(answer.head().withReport(report), answer.body()))
        .map(reported -> Either.<Failure, Answer>right(reported))
        .doOnCancel(answer::discard);
  }

  private static RoutingMessage.HostedRequestEnded requestEnded(
      BackendServerId server, Option<Failure> failure, long elapsedMicros) {
    return new RoutingMessage.HostedRequestEnded(
        server, failure, 0, elapsedMicros, Reply.ignored());
  }

  /** A routing service that cannot keep up holds no answer back. */
  private static Mono<HostReport> endAndRequestReport(
      Address<RoutingMessage> routing, BackendServerId server, Answer answer) {
    return Mono.create(
        sink -> {
          RoutingMessage.HostedRequestEnded served =
              new RoutingMessage.HostedRequestEnded(
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
