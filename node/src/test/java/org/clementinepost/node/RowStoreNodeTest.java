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
import org.clementinepost.testing.rows.MeshBackendStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Two nodes, a backend server beside each, and a store that tells of changes. */
final class RowStoreNodeTest {
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final Duration RETRY_PERIOD = Duration.ofMillis(50);
  private static final EmergencyAllowance ALLOWANCE = new EmergencyAllowance(0.1, 20, 5);
  private static final long KEY_WITHDRAWAL_MILLIS = 5_000;
  private static final long GRACE_MILLIS = 30_000;
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final Node first = start("first");
  private final Node second = start("second");
  private MeshBackendStandIn beside;
  private MeshBackendStandIn afar;
  private int attempts;

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
    return Node.start(settings, Backing.rowStore(new StoreClient(store.address()), ALLOWANCE), 1);
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

  private static String route(String name, String service, String kind, boolean open) {
    return
"""
{"name":"%s","host":"a.example","prefix":"/%s/","kind":"%s","timeoutMs":5000,\
"targetLatencyMs":1000,"priority":1,"service":"%s","maxAttempts":2,\
"authExempt":%s}\
"""
        .formatted(name, name, kind, service, open);
  }

  private static NetworkAddress announcePort(Node node) {
    return new NetworkAddress("127.0.0.1", node.ports().block(PATIENCE).announce());
  }

  @BeforeEach
  void serve() {
    store.put("op", "config", configuration(2, "k", 1_000));
    beside = MeshBackendStandIn.start("i-near", "near", announcePort(first));
    afar = MeshBackendStandIn.start("i-far", "far", announcePort(second));
    await("/near/x", OK);
    await("/far/x", OK);
  }

  @AfterEach
  void close() {
    beside.close();
    afar.close();
    first.stop();
    second.stop();
    store.close();
  }

  private int ask(String path, String key) {
    return asking(path, key).block(PATIENCE);
  }

  private Mono<Integer> asking(String path, String key) {
    attempts++;
    return HttpClient.create()
        .headers(
            headers ->
                headers
                    .set("Host", "a.example")
                    .set("Attempt-Id", "attempt-" + attempts)
                    .set("Deadline-Ms", "4000")
                    .set("Tenant-Id", "forged")
                    .set("Authorization", "Bearer " + key))
        .post()
        .uri("http://127.0.0.1:" + first.ports().block(PATIENCE).ingress() + path)
        .send((request, outbound) -> outbound.sendString(Mono.just("body")))
        .responseSingle(
            (response, content) -> content.asByteArray().then(Mono.just(response.status().code())));
  }

  private int ask(String path) {
    return ask(path, "k");
  }

  private void await(String path, int status) {
    await(() -> ask(path) == status);
  }

  private static void await(BooleanSupplier condition) {
    Mono.fromSupplier(condition::getAsBoolean)
        .filter(met -> met)
        .repeatWhenEmpty(again -> again.delayElements(RETRY_PERIOD, Schedulers.boundedElastic()))
        .timeout(PATIENCE)
        .block();
  }

  @Test
  void aRequestReachesTheServerBesideAndTheServerBehindAnotherNode() {
    assertThat(Vector.of(ask("/near/x"), ask("/far/x"))).containsOnly(OK);
    assertThat(afar.lastHeaders())
        .contains("Caller-Service: near", "Expect-Instance: i-far")
        .doesNotContain("Authorization", "Tenant-Id");
  }

  @Test
  void aCustomerIsNamedByItsKeyAndTheKeyGoesNoFurther() {
    await("/keyed/x", OK);
    assertThat(afar.lastHeaders())
        .contains("Tenant-Id: clinic")
        .doesNotContain("forged", "Authorization");
    assertThat(ask("/keyed/x", "unknown")).isEqualTo(UNAUTHORIZED);
  }

  @Test
  void aPathThatNoRouteCoversIsNotFound() {
    assertThat(ask("/nowhere/x")).isEqualTo(NOT_FOUND);
  }

  @Test
  void aWithdrawnKeyOpensNothing() {
    await("/keyed/x", OK);
    store.put("op", "config", configuration(3, "other", 1_000));
    await("/keyed/x", UNAUTHORIZED);
  }

  @Test
  void anOlderConfigurationIsNotTaken() {
    store.put("op", "config", configuration(1, "other", 1_000));
    store.put("op", "config", configuration(3, "k", 1_000));
    await("/keyed/x", OK);
    assertThat(ask("/keyed/x")).isEqualTo(OK);
  }

  @Test
  void aConfigurationThatCannotBeReadLeavesWhatHeld() {
    store.put("op", "config", "{\"version\":");
    assertThat(ask("/near/x")).isEqualTo(OK);
  }

  @Test
  void aCustomerOverItsRateIsRefused() {
    await("/keyed/x", OK);
    store.put("op", "config", configuration(3, "k", 1));
    await("/keyed/x", TOO_MANY);
  }

  @Test
  void aDomainTakenOutGetsNoWorkUntilItIsTakenBack() {
    store.put("op", "evacuate/a", "{}");
    await("/far/x", UNAVAILABLE);
    store.remove("op", "evacuate/a");
    await("/far/x", OK);
  }

  @Test
  void anAcknowledgedDrainEndsNewWorkAtOnce() {
    afar.drain().block(PATIENCE);
    assertThat(ask("/far/x")).isEqualTo(UNAVAILABLE);
  }

  @Test
  void aRowThatSomebodyRemovedIsWrittenAgain() {
    store.remove("nodes", "second");
    await("/far/x", OK);
    Mono.fromSupplier(() -> store.value("nodes", "second").isDefined())
        .filter(there -> there)
        .repeatWhenEmpty(again -> again.delayElements(RETRY_PERIOD, Schedulers.boundedElastic()))
        .timeout(PATIENCE)
        .block();
  }

  /** Runs an action of the test beside it. */
  private static <T> Mono<T> beside(Mono<T> action) {
    Mono<T> started = action.subscribeOn(Schedulers.boundedElastic()).cache();
    started.subscribe(unused -> {}, error -> {});
    return started;
  }

  private static boolean takesConnections(NetworkAddress address) {
    try (Socket unused = new Socket(address.host(), address.port())) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** The status of a request that is at its backend server when a node's farewell ends. */
  private int answeredBeyondTheFarewellOf(Node node) {
    NetworkAddress ingress =
        new NetworkAddress("127.0.0.1", node.ports().block(PATIENCE).ingress());
    int before = afar.runs();
    Runnable release = afar.hold();
    Mono<Integer> status = beside(asking("/far/x", "k"));
    await(() -> afar.runs() > before);

    Mono<Void> stopped = beside(Mono.fromRunnable(node::stop));
    await(() -> !takesConnections(ingress));
    release.run();

    int answered = status.block(PATIENCE);
    stopped.block(PATIENCE);
    return answered;
  }

  @Test
  void aRequestInHandAtAnotherHostIsAnsweredBeyondTheFarewell() {
    assertThat(answeredBeyondTheFarewellOf(first)).isEqualTo(OK);
  }

  @Test
  void aRequestOfAnotherNodeIsAnsweredBeyondItsHostsFarewell() {
    assertThat(answeredBeyondTheFarewellOf(second)).isEqualTo(OK);
  }

  @Test
  void openRoutesGoOnWhileTheStoreIsAwayAndKeysDoNot() {
    await("/keyed/x", OK);
    store.meet(Fault.RESET);
    await("/keyed/x", UNAVAILABLE);
    assertThat(Vector.of(ask("/near/x"), ask("/far/x"))).containsOnly(OK);
    store.meet(Fault.NONE);
    await("/keyed/x", OK);
  }
}
