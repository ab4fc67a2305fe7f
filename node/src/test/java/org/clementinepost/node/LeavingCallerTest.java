package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.testing.StandInServer;
import org.clementinepost.testing.rows.Heartbeats;
import org.clementinepost.testing.rows.OpenRoutes;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Callers leave while their bookings are on the way to busy servers, beside the node and behind
 * another one.
 *
 * <p>Guards against bookings that run with an empty or incomplete body, and against bookings that
 * reach a server long after their callers have left and hold its slots.
 */
final class LeavingCallerTest {
  private static final int SLOTS = 2;
  private static final int WORK_MILLIS = 100;
  private static final int BOOKINGS = 60;
  private static final int PERIOD_MILLIS = 40;
  private static final int MAX_PATIENCE_MILLIS = 400;
  private static final int MAX_PAUSE_MILLIS = 60;
  private static final int DEADLINE_MILLIS = 10_000;
  private static final int LONG_BODY_BYTES = 300_000;
  private static final long MAX_MILLIS_AFTER_LEAVING = 500;
  private static final double LEAVING_SHARE = 0.5;

  private record Run(String id, String body, long startNanos) {}

  /** How the body of a booking is sent. */
  private enum Framing {
    LENGTH,
    CHUNKED
  }

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Node first = RowStoreNodes.start(store, "first", "near");
  private final Node second = RowStoreNodes.start(store, "second", "far");
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private final Map<String, String> sentBodies = new ConcurrentHashMap<>();
  private final Map<String, Long> leftNanos = new ConcurrentHashMap<>();
  private final Queue<String> unserved = new ConcurrentLinkedQueue<>();
  private final StandInServer server =
      StandInServer.bind("127.0.0.1", 0, HttpServer.create().handle(this::serve));
  private Vector<Heartbeats> heartbeats = Vector.empty();

  @BeforeEach
  void startServersAndAwaitRoutes() {
    store.put(
        "op", "config", OpenRoutes.configuration("near", "far").replace("\"safe\"", "\"payment\""));
    heartbeats = Vector.of(heartbeats(first, "near"), heartbeats(second, "far"));
    RowStoreNodes.await(() -> RowStoreNodes.statusOf(first, "/near/x") == 200);
    RowStoreNodes.await(() -> RowStoreNodes.statusOf(first, "/far/x") == 200);
    runs.clear();
  }

  private Heartbeats heartbeats(Node node, String service) {
    return Heartbeats.builder(
            RowStoreNodes.announceAddress(node), "i-" + service, service, server.address())
        .slots(SLOTS)
        .start();
  }

  @AfterEach
  void close() {
    heartbeats.forEach(Heartbeats::close);
    first.stop();
    second.stop();
    server.close();
    store.close();
  }

  /** Runs a request once its body is complete in form. */
  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    long startNanos = System.nanoTime();
    String id = request.requestHeaders().get("Attempt-Id", "");
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .doOnNext(body -> runs.add(new Run(id, body, startNanos)))
        .delayElement(Duration.ofMillis(WORK_MILLIS))
        .flatMap(body -> response.header("Attempt-Id", id).sendString(Mono.just("done")).then());
  }

  private static String head(String service, String id, Framing framing, String body) {
    String length =
        framing == Framing.LENGTH
            ? "Content-Length: " + body.length()
            : "Transfer-Encoding: chunked";
    return Vector.of(
            "POST /%s/x HTTP/1.1".formatted(service),
            "Host: a.example",
            "Attempt-Id: " + id,
            "Deadline-Ms: " + DEADLINE_MILLIS,
            length,
            "\r\n")
        .mkString("\r\n");
  }

  private static String framed(Framing framing, String part) {
    return framing == Framing.LENGTH
        ? part
        : Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
  }

  private Socket connect() throws IOException {
    NetworkAddress address = RowStoreNodes.ingressAddress(first);
    return new Socket(address.host(), address.port());
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void send(Socket socket, String service, String id, Framing framing, String body)
      throws IOException {
    sentBodies.put(id, body);
    write(socket, head(service, id, framing, body) + framed(framing, body));
    if (framing == Framing.CHUNKED) {
      write(socket, "0\r\n\r\n");
    }
  }

  private void assertRunsAreWholeAndInTime() {
    assertThat(Vector.ofAll(runs).map(Run::id)).doesNotHaveDuplicates();
    for (Run run : runs) {
      assertThat(run.body()).as("body of %s", run.id()).isEqualTo(sentBodies.get(run.id()));
      long leftAtNanos = leftNanos.getOrDefault(run.id(), Long.MAX_VALUE);
      assertThat(TimeUnit.NANOSECONDS.toMillis(run.startNanos() - leftAtNanos))
          .as("millis between the leaving of the caller and the start of %s", run.id())
          .isLessThanOrEqualTo(MAX_MILLIS_AFTER_LEAVING);
    }
  }

  /** Takes all slots of a service with bookings whose callers wait. */
  private Vector<Thread> occupy(String service) {
    return Vector.range(0, SLOTS)
        .map(
            i ->
                start(
                    () ->
                        book(
                            new Random(i),
                            service,
                            "slot-" + service + i,
                            Framing.LENGTH,
                            "x".repeat(10),
                            DEADLINE_MILLIS)));
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.start();
    return thread;
  }

  private static void join(Vector<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"near", "far"})
  void bookingThatWaitsForSlotIsWithdrawnWhenItsCallerLeaves(String service) throws Exception {
    Vector<Thread> waiting = occupy(service);
    RowStoreNodes.await(() -> runs.size() == SLOTS);
    for (Framing framing : Framing.values()) {
      try (Socket socket = connect()) {
        send(socket, service, "leaver-" + framing, framing, "body of " + framing);
        Thread.sleep(WORK_MILLIS / 10);
      }
    }
    join(waiting);
    Thread.sleep(4L * WORK_MILLIS);
    assertThat(Vector.ofAll(runs).map(Run::id)).noneMatch(id -> id.startsWith("leaver"));
    assertThat(unserved).isEmpty();
  }

  /** Guards against a body that breaks off and looks complete to the server. */
  @ParameterizedTest
  @ValueSource(strings = {"near", "far"})
  void bodyThatBreaksOffNeverLooksComplete(String service) throws Exception {
    for (Framing framing : Framing.values()) {
      for (int sentBytes : new int[] {0, 100, LONG_BODY_BYTES - 1}) {
        String body = "b".repeat(LONG_BODY_BYTES);
        try (Socket socket = connect()) {
          String part = framed(framing, body).substring(0, sentBytes);
          write(socket, head(service, framing + "-" + sentBytes, framing, body) + part);
          Thread.sleep(WORK_MILLIS);
        }
      }
    }
    Thread.sleep(2L * WORK_MILLIS);
    assertThat(runs).isEmpty();
    Vector<Thread> waiting = occupy(service);
    join(waiting);
    assertThat(unserved).isEmpty();
    assertThat(runs).hasSize(SLOTS);
  }

  /** Callers that leave at any step: before, during and after their bodies, or never. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void bookingsOfLeavingCallersAreWholeOrDoNotRun(long seed) throws Exception {
    Random random = new Random(seed);
    CountDownLatch done = new CountDownLatch(BOOKINGS);
    for (int i = 0; i < BOOKINGS; i++) {
      String id = "booking-" + i;
      String service = random.nextBoolean() ? "near" : "far";
      Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
      int bytes = random.nextInt(4) == 0 ? LONG_BODY_BYTES : 1 + random.nextInt(100);
      int patienceMillis =
          random.nextDouble() < LEAVING_SHARE
              ? random.nextInt(MAX_PATIENCE_MILLIS)
              : DEADLINE_MILLIS;
      Random pauses = new Random(random.nextLong());
      String body = Integer.toString(i, 36).repeat(bytes);
      start(
          () -> {
            book(pauses, service, id, framing, body, patienceMillis);
            done.countDown();
          });
      Thread.sleep(PERIOD_MILLIS);
    }
    assertThat(done.await(2 * DEADLINE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(leftNanos).isNotEmpty();
    assertRunsAreWholeAndInTime();
    assertThat(unserved).isEmpty();
  }

  /** Sends a booking in two parts, and leaves when the patience is at an end. */
  private void book(
      Random pauses, String service, String id, Framing framing, String body, int patienceMillis) {
    sentBodies.put(id, body);
    long leaveNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMillis);
    try (Socket socket = connect()) {
      int middle = pauses.nextInt(body.length());
      write(socket, head(service, id, framing, body));
      Vector<String> parts =
          Vector.of(body.substring(0, middle), body.substring(middle))
              .filter(part -> !part.isEmpty())
              .map(part -> framed(framing, part));
      for (String part : framing == Framing.CHUNKED ? parts.append("0\r\n\r\n") : parts) {
        if (pauseUntil(leaveNanos, pauses.nextInt(MAX_PAUSE_MILLIS))) {
          leftNanos.put(id, System.nanoTime());
          return;
        }
        write(socket, part);
      }
      awaitResponse(socket, id, leaveNanos);
    } catch (IOException e) {
      unserved.add(id + ": " + e);
    }
  }

  /** Waits, at most until the caller leaves; returns whether it leaves. */
  private static boolean pauseUntil(long leaveNanos, long millis) {
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    sleepNanos(Math.min(untilNanos, leaveNanos) - System.nanoTime());
    return System.nanoTime() >= leaveNanos;
  }

  private static void sleepNanos(long nanos) {
    try {
      TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitResponse(Socket socket, String id, long leaveNanos) throws IOException {
    InputStream input = socket.getInputStream();
    while (System.nanoTime() < leaveNanos && input.available() == 0) {
      sleepNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
    if (input.available() == 0) {
      leftNanos.put(id, System.nanoTime());
      return;
    }
    String response = new String(input.readNBytes(12), StandardCharsets.ISO_8859_1);
    if (!response.equals("HTTP/1.1 200")) {
      unserved.add(id + ": " + response);
    }
  }
}
