package org.clementinepost.storage;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.tcp.TcpServer;

/**
 * Tests the client against servers that send oversized and truncated responses or close
 * connections.
 */
final class PlatformHttpClientTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);
  private static final int MAX_RESPONSE_BYTES = 10;
  private static final String TRUNCATED_RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n01234";

  private final AtomicInteger connections = new AtomicInteger();
  private final DisposableServer server =
      HttpServer.create()
          .host("127.0.0.1")
          .port(0)
          .doOnConnection(connection -> connections.incrementAndGet())
          .route(
              routes ->
                  routes
                      .get("/whole", (q, r) -> r.sendString(Mono.just("0123456789")))
                      .get("/large", (q, r) -> r.sendString(Mono.just("0123456789a")))
                      .get("/closed", (q, r) -> closeConnection(q)))
          .bindNow();
  private final DisposableServer truncatingServer =
      TcpServer.create()
          .host("127.0.0.1")
          .port(0)
          .handle((in, out) -> out.sendString(in.receive().next().map(q -> TRUNCATED_RESPONSE)))
          .bindNow();
  private final PlatformHttpClient client = clientFor(server);

  private static PlatformHttpClient clientFor(DisposableServer server) {
    return new PlatformHttpClient(
        "test",
        "http://127.0.0.1:" + server.port(),
        MAX_RESPONSE_BYTES,
        PlatformSettings.builder().url("http://unused").build());
  }

  private static Mono<Void> closeConnection(HttpServerRequest request) {
    return Mono.fromRunnable(() -> request.withConnection(Disposable::dispose));
  }

  @AfterEach
  void stop() {
    client.dispose();
    server.disposeNow();
    truncatingServer.disposeNow();
  }

  private Either<Failure, PlatformHttpClient.Response> get(String path) {
    return client.send("GET", path, Vector.empty(), new byte[0]).block(MAX_WAIT);
  }

  @Test
  void acceptsResponseOfMaximumSize() {
    assertThat(get("/whole").get().body()).hasSize(MAX_RESPONSE_BYTES);
  }

  @Test
  void rejectsResponseAboveMaximumSize() {
    assertThat(get("/large").getLeft().code()).isEqualTo(ResultCode.PLATFORM_PROTOCOL);
  }

  @Test
  void reportsTruncatedResponseAsUnavailable() {
    PlatformHttpClient cut = clientFor(truncatingServer);
    Failure failure = cut.send("GET", "/", Vector.empty(), new byte[0]).block(MAX_WAIT).getLeft();
    cut.dispose();

    assertThat(failure.code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(failure.detail()).contains("PrematureCloseException");
  }

  @Test
  void doesNotResendRequestWhenConnectionIsClosed() {
    assertThat(get("/closed").getLeft().code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(connections).hasValue(1);
  }
}
