package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;
import org.clementinepost.testing.rows.HeartbeatBackendStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests six nodes of one failure domain, most of which follow the store through others. */
final class RelayedFeedTest {
  private static final int NODES = 6;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final long OBSERVED_SECONDS = 5;

  /** What six nodes with two polls each of their own would call in the observed time, and more. */
  private static final long CALLS_OF_POLLING_NODES = 17;

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Vector<Node> nodes =
      Vector.range(0, NODES).map(i -> RowStoreNodes.start(store, "node-" + i, "desk"));
  private final Vector<HeartbeatBackendStandIn> servers =
      nodes.zipWithIndex(
          (node, i) ->
              HeartbeatBackendStandIn.start("i-" + i, "desk", RowStoreNodes.announceAddress(node)));

  private static String configuration(int version, String path) {
    return
"""
{"version":"r%d","routes":[{"name":"desk","host":"a.example","prefix":"/%s/","kind":"safe",\
"timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"desk","maxAttempts":2,\
"authExempt":false}],"services":[],"tenants":[{"name":"clinic","apiKeys":["k"]}]}\
"""
        .formatted(version, path);
  }

  @BeforeEach
  void publishConfiguration() throws Exception {
    store.put("op", "config", configuration(2, "first"));
    for (Node node : nodes) {
      RowStoreNodes.await(() -> RowStoreNodes.statusOf(node, "/first/x") == OK);
    }
    // The rows of all nodes have arrived everywhere, and the polls of the start have ended.
    TimeUnit.SECONDS.sleep(7);
  }

  @AfterEach
  void close() {
    servers.forEach(HeartbeatBackendStandIn::close);
    nodes.forEach(Node::stop);
    store.close();
  }

  @Test
  void fewNodesCallTheStoreAndAllFollowChangesAndKeepKeys() throws Exception {
    long before = store.callCount();
    for (int second = 0; second < OBSERVED_SECONDS; second++) {
      TimeUnit.SECONDS.sleep(1);
      assertThat(nodes.map(node -> RowStoreNodes.statusOf(node, "/first/x"))).containsOnly(OK);
    }
    assertThat(store.callCount() - before).isLessThan(CALLS_OF_POLLING_NODES);

    store.put("op", "config", configuration(3, "second"));
    for (Node node : nodes) {
      RowStoreNodes.await(() -> RowStoreNodes.statusOf(node, "/second/x") == OK);
      assertThat(RowStoreNodes.statusOf(node, "/first/x")).isEqualTo(NOT_FOUND);
    }
  }
}
