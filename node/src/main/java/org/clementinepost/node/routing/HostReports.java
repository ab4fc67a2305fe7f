package org.clementinepost.node.routing;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Address;
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
   * @param server the backend server
   * @param service the service of the request
   * @param exchange the exchange
   */
  public static Mono<Either<Failure, Answer>> add(
      Address<RoutingMessage> routing,
      BackendServerId server,
      ServiceId service,
      Mono<Either<Failure, Answer>> exchange) {
    return exchange.flatMap(result -> add(routing, server, service, result));
  }

  private static Mono<Either<Failure, Answer>> add(
      Address<RoutingMessage> routing,
      BackendServerId server,
      ServiceId service,
      Either<Failure, Answer> result) {
    if (result.isLeft()) {
      routing.send(
          new RoutingMessage.Served(
              server, service, Option.some(result.getLeft()), 0, 0, Reply.ignored()));
      return Mono.just(result);
    }
    Answer answer = result.get();
    return report(routing, server, service, answer)
        .map(report -> new Answer(answer.head().withReport(report), answer.body()))
        .map(reported -> Either.<Failure, Answer>right(reported))
        .doOnCancel(answer::discard);
  }

  /** A routing service that cannot keep up holds no answer back. */
  private static Mono<HostReport> report(
      Address<RoutingMessage> routing, BackendServerId server, ServiceId service, Answer answer) {
    return Mono.create(
        sink -> {
          RoutingMessage.Served served =
              new RoutingMessage.Served(
                  server,
                  service,
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
