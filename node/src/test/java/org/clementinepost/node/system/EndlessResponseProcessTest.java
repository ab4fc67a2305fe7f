package org.clementinepost.node.system;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.node.NodeMain;
import org.clementinepost.testing.backend.RawServerStandIn;
import org.clementinepost.testing.backend.RawServerStandIn.RawResponse;
import org.clementinepost.testing.rows.HeartbeatBackendStandIn;
import org.clementinepost.testing.rows.Heartbeats;
import org.clementinepost.testing.rows.OpenRoutes;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Guards against a node that runs out of memory while a faulty backend server sends bodies without
 * end to many callers at once, and then fails the requests of other services too.
 */
final class EndlessResponseProcessTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int OK = 200;
  private static final int LONG_BODY_BYTES = 6 << 20;
  private static final long MAX_HEAD_BYTES = 1_000;
  private static final long READER_DELAY_MILLIS = 1_500;
  private static final int CALLERS = 60;
  private static final int SOUND_REQUESTS = 40;
  private static final int MAX_STARTUP_ATTEMPTS = 200;
  private static final long RETRY_DELAY_MILLIS = 100;
  private static final Vector<String> JVM_OPTIONS =
      Vector.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-Dreactor.netty.ioWorkerCount=1");

  @TempDir private Path folder;
  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final RawServerStandIn faultyServer =
      RawServerStandIn.start(
          request ->
              RawResponse.endless(
                  "HTTP/1.1 200 OK\r\nServer-Stamp: i-faulty\r\nAttempt-Id: "
                      + RawServerStandIn.ATTEMPT_ID
                      + "\r\n\r\n",
                  "x"));
  private final RawServerStandIn longServer =
      RawServerStandIn.start(
          request ->
              RawResponse.once(
                  "HTTP/1.1 200 OK\r\nServer-Stamp: i-long\r\nAttempt-Id: "
                      + RawServerStandIn.ATTEMPT_ID
                      + "\r\nContent-Length: "
                      + LONG_BODY_BYTES
                      + "\r\n\r\n"
                      + "x".repeat(LONG_BODY_BYTES)));
  private RunningProcess node;
  private RunningProcess otherNode;
  private HeartbeatBackendStandIn soundServer;
  private Heartbeats faultyHeartbeats;
  private Heartbeats longHeartbeats;
  private Vector<Socket> callers = Vector.empty();

  @BeforeEach
  void start() throws Exception {
    store.put("op", "config", OpenRoutes.configuration("sound", "faulty", "long"));
    node = startNode("one");
    otherNode = startNode("two");
    NetworkAddress announce = new NetworkAddress("127.0.0.1", node.port("announce"));
    soundServer = HeartbeatBackendStandIn.start("i-sound", "sound", announce);
    faultyHeartbeats =
        Heartbeats.builder(announce, "i-faulty", "faulty", faultyServer.address())
            .slots(CALLERS + 4)
            .start();
    longHeartbeats = Heartbeats.builder(announce, "i-long", "long", longServer.address()).start();
    awaitOk(node, "/sound/x");
    awaitOk(node, "/long/x");
    awaitOk(otherNode, "/sound/x");
    awaitOk(otherNode, "/long/x");
  }

  private RunningProcess startNode(String name) throws IOException {
    Path settings =
        Files.writeString(
            folder.resolve(name + ".json"),
            """
            {"nodeId": "%s", "failureDomain": "a", "localService": "sound",
             "ingress": "127.0.0.1:0", "peer": "127.0.0.1:0",
             "announce": "127.0.0.1:0", "operator": "127.0.0.1:0",
             "rowStore": {"address": "%s"}, "keyWithdrawalMillis": 5000,
             "farewellMillis": 100, "stopGraceSeconds": 2}
            """
                .formatted(name, store.address()));
    return RunningProcess.start(
        folder.resolve(name + ".log"),
        JVM_OPTIONS,
        NodeMain.class,
        "--settings",
        settings.toString());
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    faultyHeartbeats.close();
    longHeartbeats.close();
    soundServer.close();
    node.close();
    otherNode.close();
    faultyServer.close();
    longServer.close();
    store.close();
  }

  private static void awaitOk(RunningProcess node, String path) throws InterruptedException {
    for (int attempt = 0; attempt < MAX_STARTUP_ATTEMPTS && statusOf(node, path) != OK; attempt++) {
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
  }

  private static int statusOf(RunningProcess node, String path) {
    return HttpClient.create()
        .headers(
            headers ->
                headers
                    .set("Host", OpenRoutes.HOST)
                    .set("Attempt-Id", "s")
                    .set("Deadline-Ms", "4000"))
        .get()
        .uri("http://127.0.0.1:" + node.port("ingress") + path)
        .responseSingle(
            (response, content) -> content.asByteArray().then(Mono.just(response.status().code())))
        .timeout(TIMEOUT)
        .onErrorReturn(0)
        .block();
  }

  /** Opens a connection and sends a request, without reading the response. */
  private Socket sendWithoutReading(RunningProcess node, String path, int number)
      throws IOException {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), node.port("ingress"));
    callers = callers.append(caller);
    String request =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: "
            + OpenRoutes.HOST
            + "\r\nAttempt-Id: f-"
            + number
            + "\r\nConnection: close\r\nDeadline-Ms: 5000\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return caller;
  }

  @Test
  void servesOtherServicesWhileManyCallersDoNotReadEndlessBodies() throws Exception {
    assertServesWhileCallersDoNotRead(node);
  }

  @Test
  void servesOtherServicesWhileCallersOfAnotherNodeDoNotReadEndlessBodies() throws Exception {
    assertServesWhileCallersDoNotRead(otherNode);
  }

  private void assertServesWhileCallersDoNotRead(RunningProcess ingress) throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      sendWithoutReading(ingress, "/faulty/x", i);
    }
    Vector<Integer> statuses = Vector.empty();
    for (int i = 0; i < SOUND_REQUESTS; i++) {
      Thread.sleep(RETRY_DELAY_MILLIS);
      statuses = statuses.append(statusOf(i % 2 == 0 ? node : otherNode, "/sound/x"));
    }

    assertThat(statuses).containsOnly(OK);
    assertThat(faultyServer.connectionCount()).isGreaterThan(CALLERS / 2);
    node.terminate();
    otherNode.terminate();
    assertHadMemory("one.log", node);
    assertHadMemory("two.log", otherNode);
  }

  private void assertHadMemory(String log, RunningProcess ended) throws IOException {
    assertThat(Files.readString(folder.resolve(log))).doesNotContain("OutOfMemoryError");
    assertThat(ended.remainingOutput().exists(line -> line.contains("OutOfMemoryError"))).isFalse();
  }

  @Test
  void deliversLongBodyWholeToCallerThatReadsLate() throws Exception {
    Socket caller = sendWithoutReading(node, "/long/x", 1);
    Thread.sleep(READER_DELAY_MILLIS);

    long received = caller.getInputStream().transferTo(OutputStream.nullOutputStream());

    assertThat(received).isBetween((long) LONG_BODY_BYTES, LONG_BODY_BYTES + MAX_HEAD_BYTES);
  }
}
