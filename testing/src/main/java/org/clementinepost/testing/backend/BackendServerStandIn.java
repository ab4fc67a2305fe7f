package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import java.time.Duration;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Ask;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.testing.StandInProcess;
import org.clementinepost.testing.StandInServer;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServer;

/**
 * A backend server that announces itself, drains, starts cold, sheds load and fails gray.
 *
 * <p>One task owns its state; the HTTP side translates and holds nothing.
 */
public final class BackendServerStandIn implements StandInProcess.RunningStandIn {
  private static final int THREADS = 2;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration MAX_DRAIN_TIME = Duration.ofSeconds(60);

  private final BackendSettings settings;
  private final Scheduler scheduler;
  private final Sinks.One<BackendHttpHandler> httpHandler = Sinks.one();
  private final StandInServer server;
  private final Kernel kernel;
  private final Address<BackendMessage> task;

  private BackendServerStandIn(BackendSettings settings) {
    this.settings = settings;
    scheduler = Schedulers.newParallel(settings.id(), THREADS);
    server =
        StandInServer.bind(
            settings.host(),
            settings.port(),
            HttpServer.create()
                .doOnConnection(
                    connection ->
                        httpHandler.asMono().subscribe(f -> f.countConnection(connection)))
                .handle(
                    (request, response) ->
                        httpHandler.asMono().flatMap(f -> f.handle(request, response))));
    kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .service(BackendService.definition(settings, address()))
            .start();
    task = kernel.find(BackendService.NAME);
    httpHandler.tryEmitValue(new BackendHttpHandler(settings.id(), task)).orThrow();
  }

  /** Starts a backend server. */
  public static BackendServerStandIn start(BackendSettings settings) {
    return new BackendServerStandIn(settings);
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return server.address();
  }

  /** Its root. */
  public String url() {
    return "http://" + address();
  }

  /** Orders how to behave; the order is in force once the answer comes. */
  public Mono<Either<Failure, HealthControl>> setHealth(HealthControl order) {
    return Ask.of(task, reply -> new BackendMessage.SetHealth(order, reply));
  }

  /** What it has seen so far. */
  public Mono<Either<Failure, RequestStatistics>> statistics() {
    return Ask.of(task, BackendMessage.GetStatistics::new);
  }

  /** Announces to drain, and goes on serving; answers when the node has been told. */
  public Mono<Either<Failure, Lifecycle>> drain() {
    return Ask.of(task, BackendMessage.Drain::new);
  }

  @Override
  public Object listeningDetails() {
    return new Listening(
        "backend-server", settings.id(), settings.service(), settings.failureDomain(), url());
  }

  private record Listening(String role, String id, String service, String domain, String url) {}

  /** Leaves in order: drains, ends its requests, tells the node that it is gone, and stops. */
  @Override
  public void close() {
    Mono<Either<Failure, Lifecycle>> gone = Ask.of(task, BackendMessage.StopWhenIdle::new);
    drain()
        .delayElement(Duration.ofMillis(settings.minDrainMillis()))
        .then(gone)
        .timeout(MAX_DRAIN_TIME, Mono.empty())
        .block();
    server.closeWhenIdle();
    kill();
  }

  /** Stops at once, without a word to the node. */
  public void kill() {
    kernel.dispose();
    server.close();
    scheduler.disposeGracefully().timeout(STOP_TIMEOUT, Mono.empty()).block();
  }
}
