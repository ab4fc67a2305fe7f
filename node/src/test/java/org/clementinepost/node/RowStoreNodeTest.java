package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.platform.StoreClient;
import org.clementinepost.policy.quota.EmergencyAllowance;
import org.clementinepost.testing.rows.HeartbeatBackendStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Tests two nodes, each with a local backend server, on a platform with a row store. */
final class RowStoreNodeTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration RETRY_PERIOD = Duration.ofMillis(50);
  private static final EmergencyAllowance ALLOWANCE = new EmergencyAllowance(0.1, 20, 5);
  private static final long KEY_WITHDRAWAL_MILLIS = 5_000;
  private static final long GRACE_MILLIS = 30_000;
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Node first = start("first");
  private final Node second = start("second");
  private HeartbeatBackendStandIn localServer;
  private HeartbeatBackendStandIn remoteServer;
  private int attemptCount;

  private Node start(String name) {
    NetworkAddress anyPort = new NetworkAddress("127.0.0.1", 0);
    NodeSettings settings =
        new NodeSettings(
            new NodeId(name),
            new FailureDomainId("a"),
            anyPort,
            anyPort,
            anyPort,
            anyPort,
            Option.none(),
            Option.none(),
            Option.some(store.address()),
            Option.some(new ServiceId("near")),
            Option.none(),
            KEY_WITHDRAWAL_MILLIS,
            ALLOWANCE,
            100,
            100,
            new NodeSettings.EdgeLimits(16_384, 1 << 26, 20_000, 20_000),
            GRACE_MILLIS);
    return Node.start(
        settings, PlatformAdapter.rowStore(new StoreClient(store.address()), ALLOWANCE), 1);
  }

  private static String configuration(int version, String key, int ratePerSecond) {
    return
"""
{"version":"r%d","routes":[%s,%s,%s],"services":[],"tenants":[{"name":"clinic",\
"apiKeys":["%s"],"ratePerS":%d,"burst":%d}]}\
"""
        .formatted(
            version,
            route("near", "near", "safe", true),
            route("far", "far", "unsafe", true),
            route("keyed", "far", "safe", false),
            key,
            ratePerSecond,
            ratePerSecond);
  }

  private static String route(String name, String service, String kind, boolean openToAll) {
    return
"""
{"name":"%s","host":"a.example","prefix":"/%s/","kind":"%s","timeoutMs":5000,\
"targetLatencyMs":1000,"priority":1,"service":"%s","maxAttempts":2,\
"authExempt":%s}\
"""
        .formatted(name, name, kind, service, openToAll);
  }

  private static NetworkAddress announceAddress(Node node) {
    return new NetworkAddress("127.0.0.1", node.ports().block(TIMEOUT).announce());
  }

  @BeforeEach
  void startServersAndAwaitRoutes() {
    store.put("op", "config", configuration(2, "k", 1_000));
    localServer = HeartbeatBackendStandIn.start("i-near", "near", announceAddress(first));
    remoteServer = HeartbeatBackendStandIn.start("i-far", "far", announceAddress(second));
    await("/near/x", OK);
    await("/far/x", OK);
  }

  @AfterEach
  void close() {
    localServer.close();
    remoteServer.close();
    first.stop();
    second.stop();
    store.close();
  }

  private int statusOf(String path, String key) {
    return sendRequest(path, key).block(TIMEOUT);
  }

  private Mono<Integer> sendRequest(String path, String key) {
    attemptCount++;
    return HttpClient.create()
        .headers(
            headers ->
                headers
                    .set("Host", "a.example")
                    .set("Attempt-Id", "attempt-" + attemptCount)
                    .set("Deadline-Ms", "4000")
                    .set("Tenant-Id", "forged")
                    .set("Authorization", "Bearer " + key))
        .post()
        .uri("http://127.0.0.1:" + first.ports().block(TIMEOUT).ingress() + path)
        .send((request, outbound) -> outbound.sendString(Mono.just("body")))
        .responseSingle(
            (response, content) -> content.asByteArray().then(Mono.just(response.status().code())));
  }

  private int statusOf(String path) {
    return statusOf(path, "k");
  }

  private void await(String path, int status) {
    await(() -> statusOf(path) == status);
  }

  private static void await(BooleanSupplier condition) {
    Mono.fromSupplier(condition::getAsBoolean)
        .filter(isMet -> isMet)
        .repeatWhenEmpty(
            repeats -> repeats.delayElements(RETRY_PERIOD, Schedulers.boundedElastic()))
        .timeout(TIMEOUT)
        .block();
  }

  @Test
  void routesRequestsToLocalAndRemoteServers() {
    assertThat(Vector.of(statusOf("/near/x"), statusOf("/far/x"))).containsOnly(OK);
    assertThat(remoteServer.lastHeaders())
        .contains("Caller-Service: near", "Expect-Instance: i-far")
        .doesNotContain("Authorization", "Tenant-Id");
  }

  @Test
  void forwardsCustomerNameButNotKey() {
    await("/keyed/x", OK);
    assertThat(remoteServer.lastHeaders())
        .contains("Tenant-Id: clinic")
        .doesNotContain("forged", "Authorization");
    assertThat(statusOf("/keyed/x", "unknown")).isEqualTo(UNAUTHORIZED);
  }

  @Test
  void pathWithoutRouteIsNotFound() {
    assertThat(statusOf("/nowhere/x")).isEqualTo(NOT_FOUND);
  }

  @Test
  void rejectsWithdrawnKey() {
    await("/keyed/x", OK);
    store.put("op", "config", configuration(3, "other", 1_000));
    await("/keyed/x", UNAUTHORIZED);
  }

  @Test
  void ignoresOlderConfiguration() {
    store.put("op", "config", configuration(1, "other", 1_000));
    store.put("op", "config", configuration(3, "k", 1_000));
    await("/keyed/x", OK);
    assertThat(statusOf("/keyed/x")).isEqualTo(OK);
  }

  @Test
  void unreadableConfigurationKeepsPreviousOne() {
    store.put("op", "config", "{\"version\":");
    assertThat(statusOf("/near/x")).isEqualTo(OK);
  }

  @Test
  void rejectsCustomerOverItsRate() {
    await("/keyed/x", OK);
    store.put("op", "config", configuration(3, "k", 1));
    await("/keyed/x", TOO_MANY_REQUESTS);
  }

  @Test
  void domainOutOfServiceGetsNoRequestsUntilItIsBack() {
    store.put("op", "evacuate/a", "{}");
    await("/far/x", SERVICE_UNAVAILABLE);
    store.remove("op", "evacuate/a");
    await("/far/x", OK);
  }

  @Test
  void acknowledgedDrainStopsNewRequestsAtOnce() {
    remoteServer.drain().block(TIMEOUT);
    assertThat(statusOf("/far/x")).isEqualTo(SERVICE_UNAVAILABLE);
  }

  @Test
  void rewritesItsRowAfterRemoval() {
    store.remove("nodes", "second");
    await("/far/x", OK);
    Mono.fromSupplier(() -> store.value("nodes", "second").isDefined())
        .filter(exists -> exists)
        .repeatWhenEmpty(
            repeats -> repeats.delayElements(RETRY_PERIOD, Schedulers.boundedElastic()))
        .timeout(TIMEOUT)
        .block();
  }

  /** Starts an action in the background and returns its result. */
  private static <T> Mono<T> runInBackground(Mono<T> action) {
    Mono<T> started = action.subscribeOn(Schedulers.boundedElastic()).cache();
    started.subscribe(unused -> {}, error -> {});
    return started;
  }

  private static boolean acceptsConnections(NetworkAddress address) {
    try (Socket unused = new Socket(address.host(), address.port())) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Returns the status of a request to the remote server that is in flight when the shutdown delay
   * of a node ends.
   */
  private int statusOfRequestInFlightDuringStopOf(Node node) {
    NetworkAddress ingress = new NetworkAddress("127.0.0.1", node.ports().block(TIMEOUT).ingress());
    int runsBefore = remoteServer.requestCount();
    Runnable release = remoteServer.holdResponses();
    Mono<Integer> status = runInBackground(sendRequest("/far/x", "k"));
    await(() -> remoteServer.requestCount() > runsBefore);

    Mono<Void> stopped = runInBackground(Mono.fromRunnable(node::stop));
    await(() -> !acceptsConnections(ingress));
    release.run();

    int result = status.block(TIMEOUT);
    stopped.block(TIMEOUT);
    return result;
  }

  @Test
  void stoppingIngressCompletesRequestAtRemoteHost() {
    assertThat(statusOfRequestInFlightDuringStopOf(first)).isEqualTo(OK);
  }

  @Test
  void stoppingHostCompletesRequestOfRemoteIngress() {
    assertThat(statusOfRequestInFlightDuringStopOf(second)).isEqualTo(OK);
  }

  @Test
  void openRoutesServeWithoutStoreButKeyedRoutesDoNot() {
    await("/keyed/x", OK);
    store.setFault(Fault.RESET);
    await("/keyed/x", SERVICE_UNAVAILABLE);
    assertThat(Vector.of(statusOf("/near/x"), statusOf("/far/x"))).containsOnly(OK);
    store.setFault(Fault.NONE);
    await("/keyed/x", OK);
  }
}
