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

/** Sends announcements to the node over a single connection, so that they arrive in order. */
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

  /**
   * Sends an announcement and replies once it has been answered or has failed.
   *
   * <p>A lost announcement is not retried: the next one carries the current state.
   */
  void announce(BackendEffect.Announce announce) {
    Mono.justOrEmpty(settings.announceUrl().toJavaOptional())
        .flatMap(url -> post(url, Json.write(newAnnouncement(announce))))
        .doFinally(signal -> announce.reply().send(Either.right(announce.state())))
        .subscribe();
  }

  private Announcement newAnnouncement(BackendEffect.Announce announce) {
    return new Announcement(
        settings.id(),
        settings.service(),
        address.toString(),
        settings.slots(),
        settings.maxConnections(),
        announce.state(),
        announce.uptimeMillis(),
        new Announcement.Load(announce.busySlots()));
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
