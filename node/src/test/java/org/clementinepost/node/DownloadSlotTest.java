package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.testing.backend.RawServerStandIn;
import org.clementinepost.testing.backend.RawServerStandIn.RawResponse;
import org.clementinepost.testing.rows.Heartbeats;
import org.clementinepost.testing.rows.OpenRoutes;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against slots that are never given back after a download, so that a sound backend server
 * can do less and less.
 */
final class DownloadSlotTest {
  private static final int SLOTS = 2;
  private static final int OK_STATUS = 200;
  private static final String DOWNLOAD = "/far/x";
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nAttempt-Id: " + RawServerStandIn.ATTEMPT_ID + "\r\n";

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Node first = start("first", "near");
  private final Node second = start("second", "far");
  private volatile int bodyBytes = 1;
  private final RawServerStandIn server =
      RawServerStandIn.start(
          number ->
              RawResponse.once(
                  HEAD + "Content-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes)));
  private Heartbeats heartbeats;

  private Node start(String name, String localService) {
    return RowStoreNodes.start(store, name, localService, new LoadSettings(true, false, true, 0));
  }

  @BeforeEach
  void startServerAndAwaitRoute() {
    store.put("op", "config", OpenRoutes.configuration("far"));
    heartbeats =
        Heartbeats.builder(RowStoreNodes.announceAddress(second), "i-far", "far", server.address())
            .slots(SLOTS)
            .start();
    RowStoreNodes.await(() -> RowStoreNodes.statusOf(first, DOWNLOAD) == OK_STATUS);
  }

  @AfterEach
  void close() {
    heartbeats.close();
    first.stop();
    second.stop();
    server.close();
    store.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {1_000, 58_000, 60_000, 65_000, 90_000, 300_000, 1_100_000})
  void slotsAreFreeAfterDownloads(int bytes) {
    bodyBytes = bytes;
    for (int i = 0; i < 2 * SLOTS; i++) {
      assertThat(RowStoreNodes.statusOf(first, DOWNLOAD)).isEqualTo(OK_STATUS);
      assertThat(RowStoreNodes.statusOf(second, DOWNLOAD)).isEqualTo(OK_STATUS);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1_000, 90_000, 300_000, 1_100_000})
  void slotsAreFreeAfterCallersHaveLeft(int bytes) throws Exception {
    bodyBytes = bytes;
    Random random = new Random(bytes);
    for (int i = 0; i < 20; i++) {
      leave(i % 2 == 0 ? first : second, random.nextInt(30), 4_000);
    }
    RowStoreNodes.await(() -> RowStoreNodes.statusOf(first, DOWNLOAD) == OK_STATUS);
  }

  /** Sends a request and closes the connection after a while, without reading. */
  private static void leave(Node node, int afterMillis, int deadlineMillis)
      throws IOException, InterruptedException {
    NetworkAddress address = RowStoreNodes.ingressAddress(node);
    try (Socket socket = new Socket(address.host(), address.port())) {
      String head =
          "GET %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a%d\r\nDeadline-Ms: %d\r\n\r\n"
              .formatted(DOWNLOAD, afterMillis, deadlineMillis);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      TimeUnit.MILLISECONDS.sleep(afterMillis);
    }
  }
}
