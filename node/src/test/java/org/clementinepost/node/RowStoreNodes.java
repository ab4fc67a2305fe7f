package org.clementinepost.node;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.platform.StoreClient;
import org.clementinepost.policy.quota.EmergencyAllowance;
import org.clementinepost.policy.routing.RetryBound;
import org.clementinepost.testing.rows.RowStoreStandIn;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Starts nodes of one failure domain on a row store, and waits for what they do. */
final class RowStoreNodes {
  static final Duration TIMEOUT = Duration.ofSeconds(30);
  static final Duration RETRY_PERIOD = Duration.ofMillis(50);

  private static final EmergencyAllowance ALLOWANCE = new EmergencyAllowance(0.1, 20, 5);
  private static final long FIRST_INCARNATION = 1;
  private static final long KEY_WITHDRAWAL_MILLIS = 5_000;
  private static final long GRACE_MILLIS = 30_000;
  private static final int IDLE_TIMEOUT_MILLIS = 20_000;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_BODY_BYTES = 1 << 26;

  private RowStoreNodes() {}

  static Node start(RowStoreStandIn store, String name, String localService) {
    return start(store, name, localService, LoadSettings.OFF);
  }

  static Node start(RowStoreStandIn store, String name, String localService, LoadSettings load) {
    return start(store, name, localService, load, FIRST_INCARNATION);
  }

  static Node start(
      RowStoreStandIn store,
      String name,
      String localService,
      LoadSettings load,
      long incarnation) {
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
            Option.some(new ServiceId(localService)),
            Option.none(),
            KEY_WITHDRAWAL_MILLIS,
            ALLOWANCE,
            new RetryBound(0.2, 60),
            100,
            100,
            new NodeSettings.EdgeLimits(
                MAX_HEADER_BYTES, MAX_BODY_BYTES, IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS),
            GRACE_MILLIS,
            load);
    return Node.start(
        settings,
        PlatformAdapter.rowStore(new StoreClient(store.address()), ALLOWANCE),
        incarnation);
  }

  static NetworkAddress announceAddress(Node node) {
    return new NetworkAddress("127.0.0.1", node.ports().block(TIMEOUT).announce());
  }

  static NetworkAddress ingressAddress(Node node) {
    return new NetworkAddress("127.0.0.1", node.ports().block(TIMEOUT).ingress());
  }

  /** Sends a GET request with the key {@code k} and returns the status of its response. */
  static int statusOf(Node node, String path) {
    return HttpClient.create()
        .headers(
            headers ->
                headers
                    .set("Host", "a.example")
                    .set("Attempt-Id", "attempt")
                    .set("Deadline-Ms", "4000")
                    .set("Authorization", "Bearer k"))
        .get()
        .uri("http://" + ingressAddress(node) + path)
        .responseSingle(
            (response, content) -> content.asByteArray().then(Mono.just(response.status().code())))
        .block(TIMEOUT);
  }

  static void await(BooleanSupplier condition) {
    Mono.fromSupplier(condition::getAsBoolean)
        .filter(isMet -> isMet)
        .repeatWhenEmpty(
            repeats -> repeats.delayElements(RETRY_PERIOD, Schedulers.boundedElastic()))
        .timeout(TIMEOUT)
        .block();
  }
}
