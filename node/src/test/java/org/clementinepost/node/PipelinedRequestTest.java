package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.testing.StandInServer;
import org.clementinepost.testing.rows.Heartbeats;
import org.clementinepost.testing.rows.OpenRoutes;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Checks pipelined requests through a node, to servers of its own VM and behind another node. */
final class PipelinedRequestTest {
  private static final int MAX_PIPELINED = 8;
  private static final int SLOTS = 20;
  private static final int READ_TIMEOUT_MILLIS = 10_000;
  private static final int WORK_MILLIS = 200;
  private static final int LONG_WORK_MILLIS = 1_000;
  private static final int STREAMED_BYTES = 3 << 20;
  private static final Pattern STATUS_OR_BODY = Pattern.compile("HTTP/1.1 (\\d+)|done (\\d+)");

  private static final AtomicInteger LAST_ID = new AtomicInteger();

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Node first =
      RowStoreNodes.start(
          store, "first", "near", new LoadSettings(false, false, false, MAX_PIPELINED));
  private final Node second = RowStoreNodes.start(store, "second", "far");
  private final Node third = RowStoreNodes.start(store, "third", "pay");
  private final Queue<String> events = new ConcurrentLinkedQueue<>();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxRunning = new AtomicInteger();
  private final StandInServer server =
      StandInServer.bind("127.0.0.1", 0, HttpServer.create().handle(this::serve));
  private Vector<Heartbeats> heartbeats = Vector.empty();

  @BeforeEach
  void startServersAndAwaitRoutes() {
    store.put(
        "op",
        "config",
        OpenRoutes.configuration("near", "far", "pay")
            .replace("\"/pay/\",\"kind\":\"safe\"", "\"/pay/\",\"kind\":\"payment\""));
    register("i-near", "near", first);
    register("i-far", "far", second);
    register("i-pay", "pay", third);
    for (String service : Vector.of("near", "far", "pay")) {
      RowStoreNodes.await(() -> RowStoreNodes.statusOf(first, "/" + service + "/0") == 200);
    }
    events.clear();
    maxRunning.set(0);
  }

  private void register(String id, String service, Node node) {
    heartbeats =
        heartbeats.append(
            Heartbeats.builder(RowStoreNodes.announceAddress(node), id, service, server.address())
                .slots(SLOTS)
                .start());
  }

  @AfterEach
  void close() {
    heartbeats.forEach(Heartbeats::close);
    first.stop();
    second.stop();
    third.stop();
    server.close();
    store.close();
  }

  /** The last part of the path says how many milliseconds the work takes. */
  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    String path = request.uri();
    String millis = path.substring(path.lastIndexOf('/') + 1);
    events.add("start " + path);
    maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
    response.header("Attempt-Id", request.requestHeaders().get("Attempt-Id", ""));
    Publisher<Void> answer =
        path.contains("/cut/") ? cutBody(response) : wholeBody(response, millis);
    return Mono.delay(Duration.ofMillis(Long.parseLong(millis)))
        .doFinally(signal -> running.decrementAndGet())
        .doOnNext(tick -> events.add("end " + path))
        .doOnCancel(() -> events.add("cancel " + path))
        .thenMany(answer)
        .then();
  }

  private static Publisher<Void> wholeBody(HttpServerResponse response, String millis) {
    return response.sendString(Mono.just("done " + millis));
  }

  /** Sends a part of a long body and closes the connection. */
  private static Publisher<Void> cutBody(HttpServerResponse response) {
    return response
        .header("Content-Length", String.valueOf(STREAMED_BYTES))
        .sendByteArray(
            Flux.concat(
                Mono.just(new byte[STREAMED_BYTES / 2]),
                Mono.delay(Duration.ofMillis(WORK_MILLIS))
                    .then(Mono.error(new IOException("on purpose")))));
  }

  private static String get(String path) {
    return "GET %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a%d\r\nDeadline-Ms: 4000\r\n\r\n"
        .formatted(path, LAST_ID.incrementAndGet());
  }

  private Socket send(String... paths) throws IOException {
    NetworkAddress address = RowStoreNodes.ingressAddress(first);
    Socket socket = new Socket(address.host(), address.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    String series = Vector.of(paths).map(PipelinedRequestTest::get).mkString();
    socket.getOutputStream().write(series.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  /** Returns the statuses and bodies that arrive, until the given number of bodies or the end. */
  private static Vector<String> read(Socket socket, int bodies) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[4_096];
    while (true) {
      Vector<String> parts =
          Vector.ofAll(STATUS_OR_BODY.matcher(text).results().map(result -> result.group()));
      int count = parts.count(part -> part.startsWith("done")) == bodies ? -1 : input.read(buffer);
      if (count < 0) {
        return parts;
      }
      text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
    }
  }

  private long millisOf(String... paths) throws IOException {
    long start = System.nanoTime();
    try (Socket socket = send(paths)) {
      assertThat(read(socket, paths.length)).hasSize(2 * paths.length);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  private void assertEightAreConcurrent(String service) throws IOException {
    String path = "/" + service + "/" + WORK_MILLIS;
    long single = millisOf(path);
    long eight = millisOf(path, path, path, path, path, path, path, path);
    assertThat(eight).isLessThanOrEqualTo(single * 5 / 2);
  }

  /** Guards against eight pipelined requests that took 7.8 times as long as one. */
  @Test
  void requestsOfOneConnectionAreProcessedConcurrently() throws IOException {
    assertEightAreConcurrent("near");
    assertEightAreConcurrent("far");
  }

  /** Guards against a response that overtakes the response to an earlier request. */
  @Test
  void responsesHaveTheOrderOfTheRequests() throws IOException {
    try (Socket socket = send("/near/300", "/near/1", "/far/2", "/near/150")) {
      assertThat(read(socket, 4).filter(part -> part.startsWith("done")))
          .containsExactly("done 300", "done 1", "done 2", "done 150");
    }
    assertThat(Vector.ofAll(events).filter(event -> event.startsWith("end")).last())
        .isEqualTo("end /near/300");
  }

  @Test
  void requestsBeyondTheLimitWait() throws IOException {
    String path = "/near/" + WORK_MILLIS;
    String[] paths = Vector.fill(2 * MAX_PIPELINED, path).toJavaArray(String[]::new);
    millisOf(paths);
    assertThat(maxRunning.get()).isEqualTo(MAX_PIPELINED);
    assertThat(events).hasSize(2 * paths.length);
  }

  /** Guards against work whose response nobody will read. */
  @Test
  void closedConnectionCancelsAllRequests() throws IOException {
    try (Socket socket = send("/near/1", "/near/1000", "/near/1001", "/near/1002", "/far/1003")) {
      assertThat(read(socket, 1)).isNotEmpty();
      RowStoreNodes.await(() -> running.get() == 4);
    }
    RowStoreNodes.await(() -> running.get() == 0);
    assertThat(Vector.ofAll(events).filter(event -> event.startsWith("cancel")))
        .containsExactlyInAnyOrder(
            "cancel /near/1000", "cancel /near/1001", "cancel /near/1002", "cancel /far/1003");
  }

  /** Guards against work for requests that count as not read. */
  @Test
  void responseThatClosesTheConnectionCancelsTheRequestsBehindIt() throws IOException {
    try (Socket socket = send("/near/cut/0", "/near/1000", "/near/1001")) {
      assertThat(read(socket, 1)).containsExactly("HTTP/1.1 200");
    }
    RowStoreNodes.await(() -> events.contains("cancel /near/1001"));
    assertThat(events).contains("cancel /near/1000");
  }

  /** Guards against a payment that runs although its connection closes before its turn. */
  @Test
  void nonIdempotentRequestRunsAtItsTurn() throws IOException {
    try (Socket socket = send("/near/300", "/pay/10", "/near/20")) {
      assertThat(read(socket, 3).filter(part -> part.startsWith("done")))
          .containsExactly("done 300", "done 10", "done 20");
    }
    assertThat(events)
        .containsExactly(
            "start /near/300",
            "end /near/300",
            "start /pay/10",
            "end /pay/10",
            "start /near/20",
            "end /near/20");
  }

  @Test
  void nonIdempotentRequestBehindClosedConnectionNeverRuns() throws Exception {
    try (Socket socket = send("/near/" + LONG_WORK_MILLIS, "/pay/10")) {
      RowStoreNodes.await(() -> events.contains("start /near/" + LONG_WORK_MILLIS));
    }
    RowStoreNodes.await(() -> events.contains("cancel /near/" + LONG_WORK_MILLIS));
    assertThat(events).doesNotContain("start /pay/10");
  }

  /** Guards against a stop that drops requests which a backend server is running. */
  @Test
  void stoppingNodeAnswersWhatItHasPassedOn() throws IOException {
    try (Socket socket = send("/near/600", "/near/601", "/near/602")) {
      RowStoreNodes.await(() -> running.get() == 3);
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(first::stop);
      assertThat(read(socket, 3).filter(part -> part.startsWith("done")))
          .containsExactly("done 600", "done 601", "done 602");
      stopped.join();
    }
  }
}
