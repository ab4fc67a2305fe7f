package org.clementinepost.testing.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/** Tests the stand-in over HTTP with a fake node that records its announcements. */
final class BackendServerStandInTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);
  private static final Duration POLL_PERIOD = Duration.ofMillis(20);

  private final Queue<String> announcements = new ConcurrentLinkedQueue<>();
  private final DisposableServer node =
      HttpServer.create()
          .host("127.0.0.1")
          .port(0)
          .route(
              routes ->
                  routes.post(
                      "/announce",
                      (request, response) ->
                          request
                              .receive()
                              .aggregate()
                              .asString()
                              .doOnNext(announcements::add)
                              .then(response.status(204).send())))
          .bindNow();
  private final BackendServerStandIn server =
      BackendServerStandIn.start(
          BackendSettings.builder()
              .id("b1")
              .slots(2)
              .announceUrl("http://127.0.0.1:" + node.port())
              .announcePeriodMillis(50)
              .build());
  private final HttpClient client = HttpClient.newConnection();

  @AfterEach
  void stop() {
    server.kill();
    node.disposeNow();
  }

  private Mono<String> call(String path) {
    return client
        .get()
        .uri(server.url() + path)
        .responseSingle(
            (response, body) ->
                body.asString()
                    .defaultIfEmpty("")
                    .map(
                        text ->
                            response.status().code()
                                + " "
                                + response.responseHeaders().get("clementinepost-outcome", "-")
                                + " "
                                + text));
  }

  private RequestStatistics awaitStatistics(Predicate<RequestStatistics> condition) {
    return Flux.interval(POLL_PERIOD)
        .onBackpressureDrop()
        .concatMap(tick -> server.statistics())
        .map(read -> read.get())
        .filter(condition)
        .blockFirst(MAX_WAIT);
  }

  private void awaitAnnouncement(String text) {
    Flux.interval(POLL_PERIOD)
        .filter(tick -> announcements.stream().anyMatch(line -> line.contains(text)))
        .blockFirst(MAX_WAIT);
  }

  @Test
  void echoesWholeBody() {
    byte[] chunk = new byte[50_000];
    byte[] echoed =
        client
            .post()
            .uri(server.url() + "/echo")
            .send(ByteBufFlux.fromInbound(Flux.range(0, 20).map(i -> chunk)))
            .responseContent()
            .aggregate()
            .asByteArray()
            .block(MAX_WAIT);

    assertThat(echoed).hasSize(20 * chunk.length);
  }

  @Test
  void describesRequestAndCountsItsRuns() {
    String response =
        client
            .headers(fields -> fields.set("clementinepost-request-id", "r1"))
            .headers(fields -> fields.set("Authorization", "Bearer k"))
            .post()
            .uri(server.url() + "/book?day=1")
            .send(ByteBufFlux.fromString(Mono.just("abc")))
            .responseContent()
            .aggregate()
            .asString(StandardCharsets.UTF_8)
            .block(MAX_WAIT);

    assertThat(response)
        .contains("\"method\":\"POST\"", "\"path\":\"/book?day=1\"", "\"bodyBytes\":3")
        .contains("\"server\":\"b1\"", "\"runCount\":1");
    assertThat(call("/received").block(MAX_WAIT))
        .contains("\"runs\":{\"r1\":1}", "\"authorizationSeen\":true");
  }

  @Test
  void marksShedRequestAsNotRun() {
    server.setHealth(HealthControl.of(HealthMode.FROZEN)).block(MAX_WAIT);
    Disposable first = call("/a").subscribe();
    Disposable second = call("/b").subscribe();
    awaitStatistics(statistics -> statistics.count(Counter.TOTAL_RUNS) == 2);

    assertThat(call("/c").block(MAX_WAIT)).startsWith("503 not-run");
    assertThat(awaitStatistics(statistics -> true).count(Counter.TOTAL_RUNS)).isEqualTo(2);
    first.dispose();
    second.dispose();
  }

  @Test
  void countsConnectionClosedBeforeResponse() {
    server.setHealth(HealthControl.of(HealthMode.FROZEN)).block(MAX_WAIT);
    Disposable waiting = call("/a").subscribe();
    awaitStatistics(statistics -> statistics.count(Counter.TOTAL_RUNS) == 1);
    waiting.dispose();

    assertThat(awaitStatistics(statistics -> statistics.count(Counter.CANCELLED) == 1)).isNotNull();
    server.setHealth(HealthControl.of(HealthMode.HEALTHY)).block(MAX_WAIT);
    assertThat(call("/b").block(MAX_WAIT)).startsWith("200");
  }

  @Test
  void closesConnectionsWhenKilled() {
    server.setHealth(HealthControl.of(HealthMode.FROZEN)).block(MAX_WAIT);
    Mono<String> response = call("/a").onErrorReturn("disconnected").cache();
    response.subscribe();
    awaitStatistics(statistics -> statistics.count(Counter.TOTAL_RUNS) == 1);
    server.kill();

    assertThat(response.block(MAX_WAIT)).isEqualTo("disconnected");
  }

  @Test
  void acceptsHealthControlOverHttp() {
    String response =
        client
            .post()
            .uri(server.url() + "/control")
            .send(ByteBufFlux.fromString(Mono.just("{\"mode\":\"wrong\"}")))
            .responseContent()
            .aggregate()
            .asString()
            .block(MAX_WAIT);

    assertThat(response).contains("\"mode\":\"wrong\"");
    assertThat(call("/a").block(MAX_WAIT)).startsWith("500");
  }

  @Test
  void completesRequestsBeforeAnnouncingGone() {
    awaitAnnouncement("\"state\":\"serving\"");
    Mono<String> response = call("/a?delayMillis=500").cache();
    response.subscribe();
    awaitStatistics(statistics -> statistics.count(Counter.TOTAL_RUNS) == 1);
    server.close();

    assertThat(response.block(MAX_WAIT)).startsWith("200");
    assertThat(announcements).anyMatch(line -> line.contains("\"state\":\"draining\""));
    assertThat(announcements).last().asString().contains("\"state\":\"gone\"", "\"id\":\"b1\"");
  }
}
