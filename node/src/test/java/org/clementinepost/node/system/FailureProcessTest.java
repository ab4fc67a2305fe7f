package org.clementinepost.node.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a fleet of processes serves while a process is killed, frozen or sent random bytes.
 */
final class FailureProcessTest {
  private static final int RANDOM_BYTES = 4_096;
  private static final int RANDOM_CONNECTIONS = 20;
  private static final long SEED = 4_711;

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
  void allNodesServeAfterBackendServerIsKilled() throws Exception {
    fleet.server("server-1").kill();
    for (String node : fleet.nodeNames()) {
      fleet.awaitServing(node);
    }
  }

  @Test
  void otherNodesServeAfterNodeIsKilled() throws Exception {
    fleet.node("node-3").kill();
    fleet.awaitServing("node-1");
    fleet.awaitServing("node-2");
  }

  @Test
  void otherNodesServeWhileNodeIsFrozenAndItServesOnceResumed() throws Exception {
    fleet.node("node-3").freeze();
    fleet.awaitServing("node-1");
    fleet.awaitServing("node-2");
    fleet.node("node-3").resume();
    fleet.awaitServing("node-3");
  }

  @Test
  void allNodesServeAfterPlatformIsKilled() throws Exception {
    fleet.platform().kill();
    for (String node : fleet.nodeNames()) {
      fleet.awaitServing(node);
    }
  }

  @Test
  void killedNodeServesOnceRestarted() throws Exception {
    fleet.node("node-3").kill();
    fleet.startNode("node-3", "domain-3");
    fleet.awaitServing("node-3");
  }

  @Test
  void allNodesServeAfterRandomBytesAtEveryPort() throws Exception {
    Random random = new Random(SEED);
    for (String port : new String[] {"ingress", "operator", "announce", "peer"}) {
      for (int connection = 0; connection < RANDOM_CONNECTIONS; connection++) {
        sendRandomBytes(fleet.node("node-1").port(port), random);
      }
    }
    for (String node : fleet.nodeNames()) {
      fleet.awaitServing(node);
    }
    assertThat(fleet.get("node-1", "/hello").statusCode()).isEqualTo(200);
  }

  private static void sendRandomBytes(int port, Random random) throws IOException {
    byte[] bytes = new byte[RANDOM_BYTES];
    random.nextBytes(bytes);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(bytes);
      socket.shutdownOutput();
    } catch (IOException e) {
      // The node may close the connection before all bytes are written, which is allowed.
      assertThat(e).isNotNull();
    }
  }
}
