package org.clementinepost.node.system;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Route;
import org.clementinepost.api.config.RouteTable;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.node.NodeMain;
import org.clementinepost.storage.HttpPlatform;
import org.clementinepost.storage.PlatformSettings;
import org.clementinepost.storage.config.ConfigurationStore;
import org.clementinepost.testing.backend.BackendServerStandInMain;
import org.clementinepost.testing.platform.PlatformStandInMain;

/**
 * A small fleet of processes: a stand-in of the platform, nodes, and one backend server at each
 * node.
 */
final class ProcessFleet implements AutoCloseable {
  static final String KEY = "demo-key";
  static final String SERVICE = "echo";

  private static final CustomerId CUSTOMER = new CustomerId("customer-1");
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final int REQUIRED_CONSECUTIVE_SUCCESSES = 20;
  private static final int MAX_ATTEMPTS = 600;
  private static final long RETRY_DELAY_MILLIS = 100;

  private final Path folder;
  private final RunningProcess platform;
  private final HttpClient client = HttpClient.newHttpClient();
  private Map<String, RunningProcess> nodes = HashMap.empty();
  private Map<String, RunningProcess> servers = HashMap.empty();

  private ProcessFleet(Path folder, RunningProcess platform) {
    this.folder = folder;
    this.platform = platform;
  }

  /** Starts a fleet, publishes its configuration, and waits until every node serves requests. */
  static ProcessFleet start(Path folder, int nodeCount) throws Exception {
    RunningProcess platform =
        RunningProcess.start(
            folder.resolve("platform.log"), PlatformStandInMain.class, "--port", "0");
    ProcessFleet fleet = new ProcessFleet(folder, platform);
    fleet.publish(snapshot(1));
    for (int i = 1; i <= nodeCount; i++) {
      fleet.startNode("node-" + i, "domain-" + i);
      fleet.startServer("server-" + i, "node-" + i);
    }
    for (String node : fleet.nodes.keySet()) {
      fleet.awaitServing(node);
    }
    return fleet;
  }

  static Snapshot snapshot(long version) {
    ServiceId service = new ServiceId(SERVICE);
    ApiKey key = new ApiKey("key-1", CUSTOMER, sha256Hex(KEY));
    return new Snapshot(
        version,
        HashMap.of(CUSTOMER, new Customer(CUSTOMER, 10_000, 10_000, 1)),
        HashMap.of(key.sha256Hex(), key),
        HashMap.of(service, new Service(service, 50, 1, 10_000, 0, 1)),
        HashMap.empty(),
        RouteTable.empty()
            .with(new Route("all", "/", service, false, HashSet.empty()))
            .with(new Route("open", "/open", service, true, HashSet.empty())),
        HashMap.empty());
  }

  private static String sha256Hex(String text) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  void publish(Snapshot snapshot) {
    HttpPlatform http =
        HttpPlatform.of(
            PlatformSettings.builder()
                .tableUrl(platform.text("tableUrl"))
                .objectsUrl(platform.text("objectsUrl"))
                .build());
    new ConfigurationStore(http.platform()).publish(snapshot, "test").block().get();
    http.dispose();
  }

  void startNode(String name, String domain) throws IOException {
    ObjectNode settings = new ObjectMapper().createObjectNode();
    settings.put("nodeId", name).put("failureDomain", domain);
    for (String port : Vector.of("ingress", "peer", "announce", "operator")) {
      settings.put(port, "127.0.0.1:0");
    }
    settings
        .putObject("platform")
        .put("tableUrl", platform.text("tableUrl"))
        .put("objectsUrl", platform.text("objectsUrl"));
    Path file = Files.writeString(folder.resolve(name + ".json"), settings.toString());
    nodes =
        nodes.put(
            name,
            RunningProcess.start(
                folder.resolve(name + ".log"), NodeMain.class, "--settings", file.toString()));
  }

  void startServer(String name, String node) throws IOException {
    servers =
        servers.put(
            name,
            RunningProcess.start(
                folder.resolve(name + ".log"),
                BackendServerStandInMain.class,
                "--id",
                name,
                "--service",
                SERVICE,
                "--slots",
                "100",
                "--announce",
                "http://127.0.0.1:" + node(node).port("announce")));
  }

  RunningProcess node(String name) {
    return nodes.get(name).get();
  }

  RunningProcess server(String name) {
    return servers.get(name).get();
  }

  RunningProcess platform() {
    return platform;
  }

  Vector<String> nodeNames() {
    return nodes.keySet().toVector().sorted();
  }

  URI uri(String node, String path) {
    return URI.create("http://127.0.0.1:" + node(node).port("ingress") + path);
  }

  HttpRequest.Builder request(String node, String path) {
    return HttpRequest.newBuilder(uri(node, path))
        .header("Authorization", "Bearer " + KEY)
        .timeout(REQUEST_TIMEOUT);
  }

  HttpResponse<String> get(String node, String path) throws Exception {
    return send(request(node, path).build());
  }

  HttpResponse<String> send(HttpRequest request) throws Exception {
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the requests that a backend server has received. */
  String received(String server) throws Exception {
    return send(HttpRequest.newBuilder(URI.create(server(server).text("url") + "/received"))
            .build())
        .body();
  }

  /** Waits until a node has served {@value #REQUIRED_CONSECUTIVE_SUCCESSES} requests in a row. */
  void awaitServing(String node) throws Exception {
    int successes = 0;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      successes = isServing(node) ? successes + 1 : 0;
      if (successes >= REQUIRED_CONSECUTIVE_SUCCESSES) {
        return;
      }
      if (successes == 0) {
        Thread.sleep(RETRY_DELAY_MILLIS);
      }
    }
    throw new IllegalStateException(node + " does not serve requests");
  }

  private boolean isServing(String node) throws Exception {
    try {
      return get(node, "/ping").statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() {
    servers.values().forEach(RunningProcess::close);
    nodes.values().forEach(RunningProcess::close);
    platform.close();
  }
}
