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

/** Answers that cannot be taken, from a server that gives them. */
final class HttpExchangeTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);
  private static final int MAX_ANSWER_BYTES = 10;
  private static final String CUT_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n01234";

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
                      .get("/closed", (q, r) -> closed(q)))
          .bindNow();
  private final DisposableServer cuttingServer =
      TcpServer.create()
          .host("127.0.0.1")
          .port(0)
          .handle((in, out) -> out.sendString(in.receive().next().map(q -> CUT_ANSWER)))
          .bindNow();
  private final HttpExchange exchange = to(server);

  private static HttpExchange to(DisposableServer server) {
    return new HttpExchange(
        "test",
        "http://127.0.0.1:" + server.port(),
        MAX_ANSWER_BYTES,
        PlatformSettings.builder().url("http://unused").build());
  }

  private static Mono<Void> closed(HttpServerRequest request) {
    return Mono.fromRunnable(() -> request.withConnection(Disposable::dispose));
  }

  @AfterEach
  void stop() {
    exchange.dispose();
    server.disposeNow();
    cuttingServer.disposeNow();
  }

  private Either<Failure, HttpExchange.Answer> get(String path) {
    return exchange.send("GET", path, Vector.empty(), new byte[0]).block(MAX_WAIT);
  }

  @Test
  void takesAnAnswerUpToItsBound() {
    assertThat(get("/whole").get().body()).hasSize(MAX_ANSWER_BYTES);
  }

  @Test
  void refusesALargerAnswer() {
    assertThat(get("/large").getLeft().code()).isEqualTo(ResultCode.PLATFORM_PROTOCOL);
  }

  @Test
  void takesACutAnswerForNone() {
    HttpExchange cut = to(cuttingServer);
    Failure failure = cut.send("GET", "/", Vector.empty(), new byte[0]).block(MAX_WAIT).getLeft();
    cut.dispose();

    assertThat(failure.code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(failure.detail()).contains("PrematureCloseException");
  }

  @Test
  void sendsNothingTwice() {
    assertThat(get("/closed").getLeft().code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(connections).hasValue(1);
  }
}
