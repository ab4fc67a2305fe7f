package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.clementinepost.api.NetworkAddress;
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
  private static final Duration TIMEOUT = RowStoreNodes.TIMEOUT;
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Node first = RowStoreNodes.start(store, "first", "near");
  private final Node second = RowStoreNodes.start(store, "second", "near");
  private HeartbeatBackendStandIn localServer;
  private HeartbeatBackendStandIn remoteServer;
  private int attemptCount;

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

  @BeforeEach
  void startServersAndAwaitRoutes() {
    store.put("op", "config", configuration(2, "k", 1_000));
    localServer =
        HeartbeatBackendStandIn.start("i-near", "near", RowStoreNodes.announceAddress(first));
    remoteServer =
        HeartbeatBackendStandIn.start("i-far", "far", RowStoreNodes.announceAddress(second));
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
        .uri("http://" + RowStoreNodes.ingressAddress(first) + path)
        .send((request, outbound) -> outbound.sendString(Mono.just("body")))
        .responseSingle(
            (response, content) -> content.asByteArray().then(Mono.just(response.status().code())));
  }

  private int statusOf(String path) {
    return statusOf(path, "k");
  }

  private void await(String path, int status) {
    RowStoreNodes.await(() -> statusOf(path) == status);
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
    RowStoreNodes.await(() -> store.value("nodes", "second").isDefined());
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
    NetworkAddress ingress = RowStoreNodes.ingressAddress(node);
    int requestsBefore = remoteServer.requestCount();
    Runnable release = remoteServer.holdResponses();
    Mono<Integer> status = runInBackground(sendRequest("/far/x", "k"));
    RowStoreNodes.await(() -> remoteServer.requestCount() > requestsBefore);

    Mono<Void> stopped = runInBackground(Mono.fromRunnable(node::stop));
    RowStoreNodes.await(() -> !acceptsConnections(ingress));
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
