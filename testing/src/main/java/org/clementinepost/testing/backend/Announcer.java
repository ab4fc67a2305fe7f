package org.clementinepost.testing.backend;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.testing.Json;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Posts announcements to the node over one connection, so that they arrive in order. */
final class Announcer implements Disposable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int FIRST_NON_SUCCESS_STATUS = 300;
  private static final Duration TIMEOUT = Duration.ofMillis(900);

  private final BackendSettings settings;
  private final NetworkAddress address;
  private final ConnectionProvider connection = ConnectionProvider.create("announce", 1);
  private final HttpClient client =
      HttpClient.create(connection)
          .disableRetry(true)
          .headers(fields -> fields.set("Content-Type", "application/json"));

  Announcer(BackendSettings settings, NetworkAddress address) {
    this.settings = settings;
    this.address = address;
  }

  /** Tells the node; an announcement that is lost comes again with the next one. */
  void announce(BackendEffect.Announce tell) {
    Mono.justOrEmpty(settings.announceUrl().toJavaOptional())
        .flatMap(url -> post(url, Json.write(newAnnouncement(tell))))
        .doFinally(signal -> tell.reply().send(Either.right(tell.state())))
        .subscribe();
  }

  private Announcement newAnnouncement(BackendEffect.Announce tell) {
    return new Announcement(
        settings.id(),
        settings.service(),
        address.toString(),
        settings.slots(),
        settings.maxConnections(),
        tell.state(),
        tell.uptimeMillis(),
        new Announcement.Load(tell.busySlots()));
  }

  private Mono<Integer> post(String url, String body) {
    return client
        .post()
        .uri(url + "/announce")
        .send((request, outbound) -> outbound.sendString(Mono.just(body)))
        .responseSingle((response, content) -> content.then(Mono.just(response.status().code())))
        .timeout(TIMEOUT)
        .doOnNext(this::logRefusal)
        .onErrorResume(this::logLoss);
  }

  private void logRefusal(int status) {
    if (status >= FIRST_NON_SUCCESS_STATUS) {
      logger.atWarning().log("event=announcement-refused id=%s status=%d", settings.id(), status);
    }
  }

  private Mono<Integer> logLoss(Throwable error) {
    logger.atInfo().log("event=announcement-lost id=%s cause=%s", settings.id(), error);
    return Mono.empty();
  }

  @Override
  public void dispose() {
    connection.dispose();
  }
}
