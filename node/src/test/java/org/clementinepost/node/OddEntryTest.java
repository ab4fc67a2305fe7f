package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.testing.rows.HeartbeatBackendStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a node keeps following each table that it reads after another writer has left entries
 * there that are nested too deeply, have numbers or ports out of range, or are not JSON at all.
 */
final class OddEntryTest {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final int DEPTH = 100_000;
  private static final String NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH);
  private static final String OPEN_NESTED = "{\"servers\":" + "[".repeat(DEPTH);
  private static final String HUGE_NUMBER = "9".repeat(400);
  private static final String OVERLONG_NUMBER = "9".repeat(5_000);

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Node ingress = RowStoreNodes.start(store, "ingress", "near");
  private Option<Node> host = Option.none();
  private Option<HeartbeatBackendStandIn> server = Option.none();

  private static String configuration(int version, String routes) {
    return
"""
{"version":"r%d","routes":[%s],"services":[],"tenants":[{"name":"clinic","apiKeys":["k"],\
"ratePerS":1000,"burst":1000}]}\
"""
        .formatted(version, routes);
  }

  private static String route(String path, boolean openToAll) {
    return
"""
{"name":"%s","host":"a.example","prefix":"/%s/","kind":"safe","timeoutMs":5000,\
"targetLatencyMs":1000,"priority":1,"service":"far","maxAttempts":2,"authExempt":%s}\
"""
        .formatted(path, path, openToAll);
  }

  private void startHostWithServer() {
    Node node = RowStoreNodes.start(store, "host", "far");
    host = Option.some(node);
    server =
        Option.some(
            HeartbeatBackendStandIn.start("i-far", "far", RowStoreNodes.announceAddress(node)));
  }

  @BeforeEach
  void publishConfiguration() {
    store.put("op", "config", configuration(2, route("open", true) + "," + route("keyed", false)));
  }

  @AfterEach
  void close() {
    server.forEach(HeartbeatBackendStandIn::close);
    host.forEach(Node::stop);
    ingress.stop();
    store.close();
  }

  private int statusOf(String path) {
    return RowStoreNodes.statusOf(ingress, path);
  }

  private void await(String path, int status) {
    RowStoreNodes.await(() -> statusOf(path) == status);
  }

  private static String nodeRow(String incarnation, String peer, String servers) {
    return "{\"incarnation\":%s,\"peer\":%s,\"failureDomain\":\"a\",\"servers\":%s}"
        .formatted(incarnation, peer, servers);
  }

  private static String serverEntry(String slots) {
    return "[{\"id\":\"i-odd\",\"service\":\"far\",\"slots\":" + slots + "}]";
  }

  /** Rows of the nodes table, none of which names a server that may be used. */
  private static Vector<String> oddNodeRows() {
    String peer = "\"127.0.0.1:1\"";
    return Vector.of(
        "",
        "null",
        "\u0000\uFFFF",
        NESTED,
        OPEN_NESTED,
        nodeRow("1", peer, NESTED),
        nodeRow(HUGE_NUMBER, peer, serverEntry("4")),
        nodeRow(OVERLONG_NUMBER, peer, serverEntry("4")),
        nodeRow("1e400", peer, serverEntry("4")),
        nodeRow("1", "\"127.0.0.1:70000\"", serverEntry("4")),
        nodeRow("1", "\"127.0.0.1:0\"", serverEntry("4")),
        nodeRow("1", "\"127.0.0.1:" + HUGE_NUMBER + "\"", serverEntry("4")),
        nodeRow("1", "\"no such host:80\"", serverEntry("4")),
        nodeRow("1", "\"999.1.1.1:80\"", serverEntry("4")),
        nodeRow("1", peer, serverEntry(HUGE_NUMBER)),
        nodeRow("1", peer, serverEntry("0")),
        nodeRow("1", peer, serverEntry("2147483647")),
        nodeRow("1", peer, serverEntry("4.5")));
  }

  private static Vector<String> oddConfigurations() {
    String routes = route("open", true);
    return Vector.of(
        "",
        NESTED,
        OPEN_NESTED,
        "{\"version\":\"r" + HUGE_NUMBER + "\",\"routes\":[],\"services\":[]}",
        configuration(3, routes.replace("\"priority\":1", "\"priority\":" + HUGE_NUMBER)),
        configuration(3, routes.replace("\"priority\":1", "\"priority\":4294967296")),
        configuration(3, routes.replace("\"timeoutMs\":5000", "\"timeoutMs\":" + HUGE_NUMBER)),
        configuration(3, routes.replace("\"maxAttempts\":2", "\"maxAttempts\":" + NESTED)),
        configuration(3, routes).replace("\"burst\":1000", "\"burst\":4294967296"),
        configuration(3, routes).replace("\"ratePerS\":1000", "\"ratePerS\":1e400"));
  }

  @Test
  void followsNodesTableAfterOddRows() {
    await("/open/x", SERVICE_UNAVAILABLE);
    oddNodeRows().forEachWithIndex((row, index) -> store.put("nodes", "odd-" + index, row));

    startHostWithServer();

    await("/open/x", OK);
    assertThat(Vector.fill(20, () -> statusOf("/open/x"))).containsOnly(OK);
  }

  @Test
  void readsNodesTableThatAlreadyHasOddRows() {
    oddNodeRows().forEachWithIndex((row, index) -> store.put("nodes", "odd-" + index, row));
    store.dropHistory();

    startHostWithServer();

    await("/open/x", OK);
  }

  @Test
  void followsConfigurationAfterOddOnes() {
    startHostWithServer();
    await("/open/x", OK);
    for (String odd : oddConfigurations()) {
      store.put("op", "config", odd);
    }
    store.put("op", "evacuate/", NESTED);
    store.put("op", "odd", NESTED);
    await("/keyed/x", OK);

    store.put("op", "config", configuration(4, route("keyed", false)));

    await("/open/x", NOT_FOUND);
    await("/keyed/x", OK);
  }

  @Test
  void takesQuotaLeaseAfterOddOnes() {
    startHostWithServer();
    for (String odd : Vector.of("", NESTED, HUGE_NUMBER + " x", "-1", "1 ")) {
      store.put("quota", "seat", odd);
    }
    await("/keyed/x", OK);
    assertThat(store.value("quota", "seat").get()).hasSizeLessThan(100);
  }
}
