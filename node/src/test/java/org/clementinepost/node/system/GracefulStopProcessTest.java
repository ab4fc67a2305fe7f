package org.clementinepost.node.system;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.node.NodeMain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the graceful stop of a node that runs as a process. */
final class GracefulStopProcessTest {
  private static final int CALLERS = 8;
  private static final long LOAD_BEFORE_MILLIS = 500;

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
  void gracefulStopOfHostFailsNoRequestOfOtherIngress() throws Exception {
    assertStopsFailNoRequestOfNode1("node-3");
  }

  @Test
  void gracefulStopsOfTwoHostsInTurnFailNoRequest() throws Exception {
    assertStopsFailNoRequestOfNode1("node-2", "node-3");
  }

  private void assertStopsFailNoRequestOfNode1(String... stoppedNodes) throws Exception {
    AtomicBoolean stopped = new AtomicBoolean();
    Vector<CompletableFuture<Vector<Integer>>> callers =
        Vector.range(0, CALLERS)
            .map(i -> CompletableFuture.supplyAsync(() -> requestUntilStopped("node-1", stopped)));
    Thread.sleep(LOAD_BEFORE_MILLIS);
    for (String node : stoppedNodes) {
      fleet.node(node).terminate();
    }
    stopped.set(true);
    for (CompletableFuture<Vector<Integer>> caller : callers) {
      assertThat(caller.get()).isNotEmpty().containsOnly(200);
    }
  }

  @Test
  void logOfGracefulStopEndsWithItsOutcome() throws Exception {
    Path settings =
        Files.writeString(
            folder.resolve("alone.json"),
            """
            {"nodeId": "alone", "failureDomain": "a",
             "ingress": "127.0.0.1:0", "peer": "127.0.0.1:0",
             "announce": "127.0.0.1:0", "operator": "127.0.0.1:0",
             "platform": {"embedded": true}}
            """);
    try (RunningProcess node =
        RunningProcess.start(
            folder.resolve("alone.log"),
            Vector.of("-Djava.util.logging.config.file=../config/logging.properties"),
            NodeMain.class,
            "--settings",
            settings.toString())) {
      node.terminate();
      assertThat(node.remainingOutput().filter(line -> line.contains("\"node-stopp")))
          .satisfiesExactly(
              first -> assertThat(first).contains("node-stopping"),
              last -> assertThat(last).contains("node-stopped", "\"whole\":\"true\""));
    }
  }

  private Vector<Integer> requestUntilStopped(String node, AtomicBoolean stopped) {
    Vector<Integer> statuses = Vector.empty();
    while (!stopped.get()) {
      try {
        HttpResponse<String> response = fleet.get(node, "/hello");
        statuses = statuses.append(response.statusCode());
      } catch (Exception e) {
        statuses = statuses.append(0);
      }
    }
    return statuses;
  }
}
