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
 * A stand-in for a backend server with announcements, draining, cold starts, load shedding and gray
 * failures.
 *
 * <p>One task owns the state; the HTTP handler only translates and keeps no state.
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
                        httpHandler
                            .asMono()
                            .subscribe(handler -> handler.countConnection(connection)))
                .handle(
                    (request, response) ->
                        httpHandler
                            .asMono()
                            .flatMap(handler -> handler.handle(request, response))));
    kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .service(BackendService.definition(settings, address()))
            .start();
    task = kernel.find(BackendService.NAME);
    httpHandler.tryEmitValue(new BackendHttpHandler(settings.id(), task)).orThrow();
  }

  /** Starts a stand-in. */
  public static BackendServerStandIn start(BackendSettings settings) {
    return new BackendServerStandIn(settings);
  }

  /** Returns the address that the stand-in listens on. */
  public NetworkAddress address() {
    return server.address();
  }

  /** Returns the root URL. */
  public String url() {
    return "http://" + address();
  }

  /** Changes how the server behaves; the change is active once the returned Mono completes. */
  public Mono<Either<Failure, HealthControl>> setHealth(HealthControl health) {
    return Ask.of(task, reply -> new BackendMessage.SetHealth(health, reply));
  }

  /** Returns the statistics of the requests received so far. */
  public Mono<Either<Failure, RequestStatistics>> statistics() {
    return Ask.of(task, BackendMessage.GetStatistics::new);
  }

  /**
   * Announces that the server is draining, but keeps serving; replies when the node is informed.
   */
  public Mono<Either<Failure, Lifecycle>> drain() {
    return Ask.of(task, BackendMessage.Drain::new);
  }

  @Override
  public Object listeningDetails() {
    return new Listening(
        "backend-server", settings.id(), settings.service(), settings.failureDomain(), url());
  }

  private record Listening(String role, String id, String service, String domain, String url) {}

  /**
   * Shuts down gracefully: drains, completes its requests, announces that it is gone, and stops.
   */
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

  /** Stops immediately, without informing the node. */
  public void kill() {
    kernel.dispose();
    server.close();
    scheduler.disposeGracefully().timeout(STOP_TIMEOUT, Mono.empty()).block();
  }
}
