package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.testing.StandInServer;
import org.clementinepost.testing.rows.Heartbeats;
import org.clementinepost.testing.rows.OpenRoutes;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Refusals at every position of a row of requests that a caller sends at once.
 *
 * <p>Guards against a kept connection that is never read again after a refusal: the next request on
 * it gets no answer, and its socket stays open after the caller has closed it.
 */
final class RefusalInRowTest {
  private static final int ROWS = 40;
  private static final int MAX_ROW_REQUESTS = 4;
  private static final int MAX_WORK_MILLIS = 40;
  private static final int BODY_PAUSE_MILLIS = 30;
  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final int SLOTS = 20;

  /** The connection that the check of the status keeps. */
  private static final int POOLED_CONNECTIONS = 1;

  private static final String BODY = "0123456789";
  private static final String FIELDS = "Host: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n";
  private static final Pattern CONTENT_LENGTH = Pattern.compile("content-length: (\\d+)");
  private static final Pattern OPEN_CONNECTIONS =
      Pattern.compile("(?m)^\\S*edge_connections_open (\\d+)");

  /** A request and how it is sent. */
  private enum Kind {
    SERVED("GET /near/%d", "", "", 200),
    UNKNOWN_ROUTE("GET /none/%d", "", "", 404),
    NO_SERVER("GET /idle/%d", "", "", 503),
    KEY_MISSING("GET /keyed/%d", "", "", 401),
    BODY_WITH_LENGTH("POST /none/%d", "Content-Length: 10\r\n", BODY, 404),
    BODY_IN_CHUNKS(
        "POST /none/%d", "Transfer-Encoding: chunked\r\n", "a\r\n" + BODY + "\r\n0\r\n\r\n", 404),
    EXPECTS_CONTINUE("POST /none/%d", "Content-Length: 10\r\nExpect: 100-continue\r\n", BODY, 404),
    SERVED_BODY("POST /near/%d", "Content-Length: 10\r\n", BODY, 200);

    private final String line;
    private final String framing;
    private final String body;
    private final int status;

    Kind(String line, String framing, String body, int status) {
      this.line = line;
      this.framing = framing;
      this.body = body;
      this.status = status;
    }

    String head(int workMillis, String id) {
      return line.formatted(workMillis) + " HTTP/1.1\r\n" + FIELDS.formatted(id) + framing + "\r\n";
    }
  }

  private record Response(int status, boolean closes) {}

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final StandInServer server =
      StandInServer.bind(
          "127.0.0.1",
          0,
          HttpServer.create()
              .handle(
                  (request, response) ->
                      Mono.delay(workTime(request))
                          .then(
                              response
                                  .header(
                                      "Attempt-Id", request.requestHeaders().get("Attempt-Id", ""))
                                  .sendString(Mono.just("done"))
                                  .then())));

  @AfterEach
  void close() {
    server.close();
    store.close();
  }

  private static Duration workTime(HttpServerRequest request) {
    String path = request.uri();
    return Duration.ofMillis(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
  }

  @ParameterizedTest
  @CsvSource({"1,1", "1,2", "8,1", "8,2", "8,3"})
  void connectionIsReadOnAfterRefusal(int maxPipelined, long seed) throws IOException {
    store.put(
        "op",
        "config",
        OpenRoutes.configuration("near", "idle", "keyed")
            .replaceFirst("(\"service\":\"keyed\".*?\"authExempt\":)true", "$1false")
            .replace("\"tenants\":[]", "\"tenants\":[{\"name\":\"clinic\",\"apiKeys\":[\"k\"]}]"));
    Node node =
        RowStoreNodes.start(
            store, "first", "near", new LoadSettings(false, false, false, maxPipelined));
    try (Heartbeats beats =
        Heartbeats.builder(RowStoreNodes.announceAddress(node), "i-near", "near", server.address())
            .slots(SLOTS)
            .start()) {
      RowStoreNodes.await(() -> RowStoreNodes.statusOf(node, "/near/0") == 200);
      RowStoreNodes.await(() -> statusOf(node, Kind.KEY_MISSING) == Kind.KEY_MISSING.status);
      Random random = new Random(seed);
      for (int row = 0; row < ROWS; row++) {
        playRow(node, random, "row-" + row);
      }
      RowStoreNodes.await(() -> openConnections(node) <= POOLED_CONNECTIONS);
    } finally {
      node.stop();
    }
  }

  /** Sends a row at once, its last body perhaps later, then one more request on its connection. */
  private static void playRow(Node node, Random random, String name) throws IOException {
    Vector<Kind> kinds =
        Vector.fill(
            1 + random.nextInt(MAX_ROW_REQUESTS),
            () -> Kind.values()[random.nextInt(Kind.values().length)]);
    boolean lateBody = random.nextBoolean();
    NetworkAddress address = RowStoreNodes.ingressAddress(node);
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      write(socket, textOf(kinds, random, name, lateBody));
      if (lateBody) {
        sleepMillis(BODY_PAUSE_MILLIS);
        write(socket, kinds.last().body);
      }
      for (Kind kind : kinds) {
        Response response = read(input, name + " " + kinds + " late=" + lateBody);
        assertThat(response.status()).as("%s of %s %s", kind, name, kinds).isEqualTo(kind.status);
        if (response.closes()) {
          return;
        }
      }
      write(socket, Kind.SERVED.head(1, name + "-next"));
      assertThat(read(input, "request behind " + name + " " + kinds + " late=" + lateBody).status())
          .isEqualTo(Kind.SERVED.status);
    }
  }

  private static int statusOf(Node node, Kind kind) {
    NetworkAddress address = RowStoreNodes.ingressAddress(node);
    try (Socket socket = new Socket(address.host(), address.port())) {
      write(socket, kind.head(0, "first"));
      return read(socket.getInputStream(), "first").status();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String textOf(Vector<Kind> kinds, Random random, String name, boolean lateBody) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < kinds.size(); i++) {
      Kind kind = kinds.get(i);
      text.append(kind.head(random.nextInt(MAX_WORK_MILLIS), name + "-" + i));
      text.append(lateBody && i == kinds.size() - 1 ? "" : kind.body);
    }
    return text.toString();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads the next final response. */
  private static Response read(InputStream input, String what) throws IOException {
    String head = readHead(input, what).toLowerCase(Locale.ROOT);
    if (head.startsWith("http/1.1 100")) {
      return read(input, what);
    }
    Matcher length = CONTENT_LENGTH.matcher(head);
    if (length.find()) {
      input.readNBytes(Integer.parseInt(length.group(1)));
    } else {
      readUntil(input, "0\r\n\r\n", what);
    }
    return new Response(
        Integer.parseInt(head.substring(9, 12)), head.contains("connection: close"));
  }

  private static String readHead(InputStream input, String what) throws IOException {
    return readUntil(input, "\r\n\r\n", what);
  }

  private static String readUntil(InputStream input, String end, String what) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf(end) < 0) {
      int next = readByte(input, what);
      text.append((char) next);
    }
    return text.toString();
  }

  private static int readByte(InputStream input, String what) throws IOException {
    try {
      int next = input.read();
      if (next < 0) {
        throw new EOFException("closed without an answer: " + what);
      }
      return next;
    } catch (IOException e) {
      throw new IOException(what + ": " + e.getMessage(), e);
    }
  }

  private static void sleepMillis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long openConnections(Node node) {
    String metrics =
        HttpClient.create()
            .get()
            .uri(
                "http://127.0.0.1:"
                    + node.ports().block(RowStoreNodes.TIMEOUT).operator()
                    + "/metrics")
            .responseContent()
            .aggregate()
            .asString()
            .block(RowStoreNodes.TIMEOUT);
    Matcher open = OPEN_CONNECTIONS.matcher(metrics);
    return open.find() ? Long.parseLong(open.group(1)) : Long.MAX_VALUE;
  }
}
