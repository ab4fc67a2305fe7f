package org.clementinepost.node.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests that are taken late in the grace period of a planned stop and cut off
 * without a response. Callers use their connections until the node closes them, and then new ones.
 */
final class KeptConnectionStopTest {
  private static final int CALLERS = 8;
  private static final long LOAD_BEFORE_MILLIS = 500;
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int NO_RESPONSE = 0;
  private static final int BUFFERED_UPLOAD_BYTES = 200_000;
  private static final int STREAMED_UPLOAD_BYTES = 3_000_000;
  private static final long UPLOAD_PAUSE_MILLIS = 800;
  private static final int STATUS_START = "HTTP/1.1 ".length();
  private static final String HEAD_END = "\r\n\r\n";
  private static final String CONTENT_LENGTH = "\r\ncontent-length: ";

  @TempDir private Path folder;
  private ProcessFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = ProcessFleet.start(folder, 3);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void everyRequestThatRanHasItsResponse() throws Exception {
    long runsBefore = totalRuns();
    Vector<CompletableFuture<Vector<Integer>>> callers =
        Vector.range(0, CALLERS)
            .map(caller -> CompletableFuture.supplyAsync(() -> requestUntilStopped()));
    Thread.sleep(LOAD_BEFORE_MILLIS);
    fleet.node("node-1").terminate();
    Vector<Integer> statuses = Vector.empty();
    for (CompletableFuture<Vector<Integer>> caller : callers) {
      statuses = statuses.appendAll(caller.get());
    }

    long served = statuses.count(status -> status == OK);
    assertThat(served).isGreaterThan(CALLERS);
    assertThat(statuses).isSubsetOf(OK, SERVICE_UNAVAILABLE, NO_RESPONSE);
    assertThat(totalRuns() - runsBefore).isEqualTo(served);
  }

  /** Guards against an upload that is cut when its node stops before the last byte has arrived. */
  @Tag("known-red")
  @Test
  void uploadsInProgressAreCompleted() throws Exception {
    for (int bytes : new int[] {BUFFERED_UPLOAD_BYTES, STREAMED_UPLOAD_BYTES}) {
      String node = bytes == BUFFERED_UPLOAD_BYTES ? "node-1" : "node-2";
      try (Socket socket =
          new Socket(InetAddress.getLoopbackAddress(), fleet.node(node).port("ingress"))) {
        startUpload(socket, bytes);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> terminate(node));
        Thread.sleep(UPLOAD_PAUSE_MILLIS);
        socket.getOutputStream().write(new byte[bytes / 2]);
        assertThat(readResponse(socket.getInputStream())).isEqualTo(OK);
        stopped.join();
      }
    }
  }

  private void terminate(String node) {
    try {
      fleet.node(node).terminate();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends the head of an upload and the first half of its body. */
  private static void startUpload(Socket socket, int bytes) throws IOException {
    String head =
        "POST /upload HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer "
            + ProcessFleet.KEY
            + "\r\nContent-Length: "
            + bytes
            + HEAD_END;
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(new byte[bytes / 2]);
  }

  private long totalRuns() throws Exception {
    long total = 0;
    for (String server : Vector.of("server-1", "server-2", "server-3")) {
      total += MAPPER.readTree(fleet.received(server)).path("totalRuns").asLong();
    }
    return total;
  }

  /** Sends requests on one connection after the other until no new one can be opened. */
  private Vector<Integer> requestUntilStopped() {
    Vector<Integer> statuses = Vector.empty();
    while (true) {
      try (Socket socket =
          new Socket(InetAddress.getLoopbackAddress(), fleet.node("node-1").port("ingress"))) {
        statuses = statuses.appendAll(requestUntilClosed(socket));
      } catch (IOException e) {
        return statuses;
      }
    }
  }

  private static Vector<Integer> requestUntilClosed(Socket socket) {
    Vector<Integer> statuses = Vector.empty();
    while (statuses.isEmpty() || statuses.last() != NO_RESPONSE) {
      statuses = statuses.append(statusOfNextRequest(socket));
    }
    return statuses;
  }

  private static int statusOfNextRequest(Socket socket) {
    String request =
        "GET /hello HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + ProcessFleet.KEY + HEAD_END;
    try {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return readResponse(socket.getInputStream());
    } catch (IOException e) {
      return NO_RESPONSE;
    }
  }

  /** Reads a whole response and returns its status, or {@link #NO_RESPONSE} at the end. */
  private static int readResponse(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(HEAD_END) < 0) {
      int next = input.read();
      if (next < 0) {
        assertThat(head).as("part of a response").isEmpty();
        return NO_RESPONSE;
      }
      head.append((char) next);
    }
    int length = contentLength(head.toString());
    assertThat(input.readNBytes(length)).hasSize(length);
    return Integer.parseInt(head.substring(STATUS_START, STATUS_START + 3));
  }

  private static int contentLength(String head) {
    int start = head.toLowerCase(Locale.ROOT).indexOf(CONTENT_LENGTH);
    assertThat(start).as(head).isNotNegative();
    int from = start + CONTENT_LENGTH.length();
    return Integer.parseInt(head.substring(from, head.indexOf("\r\n", from)));
  }
}
