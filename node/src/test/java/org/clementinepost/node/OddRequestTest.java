package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.testing.rows.HeartbeatBackendStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Checks the responses to requests that HTTP/1.1 forbids or that few callers send. */
final class OddRequestTest {
  private static final int READ_TIMEOUT_MILLIS = 10_000;
  private static final String ID = "Attempt-Id: a\r\nDeadline-Ms: 4000\r\n";
  private static final String HOST = "Host: a.example\r\n";
  private static final String CONFIGURATION =
"""
{"version":"r2","routes":[{"name":"open","host":"a.example","prefix":"/open/","kind":"safe",\
"timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"near","maxAttempts":2,\
"authExempt":true}],"services":[],"tenants":[{"name":"clinic","apiKeys":["k"]}]}\
""";

  private static RowStoreStandIn store;
  private static Node node;
  private static HeartbeatBackendStandIn server;

  @BeforeAll
  static void startServerAndAwaitRoute() {
    store = RowStoreStandIn.start();
    node = RowStoreNodes.start(store, "node", "near");
    store.put("op", "config", CONFIGURATION);
    server = HeartbeatBackendStandIn.start("i", "near", RowStoreNodes.announceAddress(node));
    RowStoreNodes.await(() -> response(get("/open/x", HOST)).startsWith("HTTP/1.1 200"));
  }

  @AfterAll
  static void close() {
    server.close();
    node.stop();
    store.close();
  }

  private static String get(String target, String fields) {
    return "GET " + target + " HTTP/1.1\r\n" + ID + fields + "\r\n";
  }

  /** Sends bytes and returns all that arrives until the node closes, or the first response. */
  private static String response(String request) {
    NetworkAddress address = RowStoreNodes.ingressAddress(node);
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return readResponse(socket.getInputStream());
    } catch (IOException e) {
      return String.valueOf(e);
    }
  }

  private static String readResponse(InputStream input) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[4_096];
    while (true) {
      int count = input.read(buffer);
      if (count < 0) {
        return text + "(closed)";
      }
      text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
      if (text.indexOf("\r\n\r\n") >= 0 && text.indexOf("connection: close") < 0) {
        return text.toString();
      }
    }
  }

  private static void assertRejected(String request, int status) {
    int before = server.requestCount();
    assertThat(response(request))
        .startsWith("HTTP/1.1 " + status)
        .containsIgnoringCase("connection: close")
        .endsWith("(closed)");
    assertThat(server.requestCount()).isEqualTo(before);
  }

  @Test
  void rejectsRequestWithoutHost() {
    assertRejected(get("/open/x", ""), 400);
  }

  @Test
  void rejectsRequestWithTwoHosts() {
    assertRejected(get("/open/x", HOST + "Host: b.example\r\n"), 400);
  }

  @Test
  void rejectsRequestWithTwoKeys() {
    assertRejected(
        get("/open/x", HOST + "Authorization: Bearer k\r\nAuthorization: Bearer other\r\n"), 400);
  }

  @Test
  void rejectsUnknownTransferCoding() {
    String rest = "5\r\nhello\r\n0\r\n\r\nGET /open/smuggled HTTP/1.1\r\n\r\n";
    assertRejected(get("/open/x", HOST + "Transfer-Encoding: xchunked\r\n") + rest, 501);
    assertRejected(get("/open/x", HOST + "Transfer-Encoding: gzip, chunked\r\n") + rest, 501);
    assertRejected(get("/open/x", HOST + "Transfer-Encoding: chunked, gzip\r\n") + rest, 400);
  }

  @Test
  @Tag("known-red")
  void rejectsOverlongChunkExtension() {
    String request =
        "POST /open/x HTTP/1.1\r\n" + ID + HOST + "Transfer-Encoding: chunked\r\n\r\n5;a=";
    assertThat(response(request + "x".repeat(70_000) + "\r\nhello\r\n0\r\n\r\n"))
        .startsWith("HTTP/1.1 400");
  }

  @Test
  void acceptsAbsoluteFormOfTarget() {
    assertThat(response(get("http://a.example/open/x", HOST))).startsWith("HTTP/1.1 200");
    assertThat(response(get("http://A.example:80/open/x?q=1", "Host: other.example\r\n")))
        .startsWith("HTTP/1.1 200");
    assertThat(response(get("http://b.example/open/x", HOST))).startsWith("HTTP/1.1 404");
  }

  @Test
  void acceptsRequestOfHttp10WithoutHost() {
    assertThat(response("GET /open/x HTTP/1.0\r\n" + ID + "\r\n")).startsWith("HTTP/1.0 404");
  }
}
