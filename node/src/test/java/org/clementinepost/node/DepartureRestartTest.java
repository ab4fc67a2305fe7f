package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.testing.StandInServer;
import org.clementinepost.testing.rows.OpenRoutes;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.clementinepost.testing.rows.RowStoreStandIn.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/**
 * A backend server leaves, its node is restarted, and announcements from before arrive late.
 *
 * <p>Guards against a server that has left and is used again after a restart of its node.
 */
final class DepartureRestartTest {
  private static final String ID = "i-office";
  private static final String OFFICE = "office";
  private static final int OK_STATUS = 200;
  private static final int UNAVAILABLE_STATUS = 503;
  private static final int ANNOUNCEMENTS = 12;
  private static final Duration DELIVERY_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration OBSERVED_TIME = Duration.ofSeconds(1);

  private final RowStoreStandIn store = RowStoreStandIn.start();
  private final StandInServer server =
      StandInServer.bind(
          "127.0.0.1",
          0,
          HttpServer.create()
              .handle(
                  (request, response) ->
                      response
                          .header("Attempt-Id", request.requestHeaders().get("Attempt-Id", ""))
                          .sendString(Mono.just("done"))));
  private final Node front = RowStoreNodes.start(store, "front", "desk");
  private Node host = startHost(1);

  private Node startHost(long incarnation) {
    return RowStoreNodes.start(store, "host", OFFICE, LoadSettings.OFF, incarnation);
  }

  @BeforeEach
  void startServerAndAwaitRoute() {
    store.put("op", "config", OpenRoutes.configuration(OFFICE));
    assertThat(heartbeat("ready", 1, 1)).isEqualTo(OK_STATUS);
    RowStoreNodes.await(() -> isServed(front));
  }

  @AfterEach
  void close() {
    front.stop();
    host.stop();
    server.close();
    store.close();
  }

  private static boolean isServed(Node node) {
    return RowStoreNodes.statusOf(node, "/office/x") == OK_STATUS;
  }

  private int heartbeat(String state, long bornMillis, long sequence) {
    return announce(
        "heartbeat",
"""
{"service":"office","address":"%s","zone":"a","version":"v1","slots":5,"state":"%s",\
"coldRemainingMs":0,"sequence":%d,"born":%d}\
"""
            .formatted(server.address(), state, sequence, bornMillis));
  }

  private int deregister(long bornMillis) {
    return announce("deregister", "{\"born\":%d}".formatted(bornMillis));
  }

  private int announce(String call, String body) {
    NetworkAddress address = RowStoreNodes.announceAddress(host);
    return HttpClient.newConnection()
        .post()
        .uri("http://" + address + "/-/rpc?call=instances." + call + "&of=" + ID)
        .send((request, outbound) -> outbound.sendString(Mono.just(body)))
        .response()
        .map(response -> response.status().code())
        .block(DELIVERY_TIMEOUT);
  }

  private void restart(long incarnation) {
    host.stop();
    host = startHost(incarnation);
  }

  private void assertNotServed() {
    long endNanos = System.nanoTime() + OBSERVED_TIME.toNanos();
    while (System.nanoTime() < endNanos) {
      assertThat(isServed(front) || isServed(host)).isFalse();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lateHeartbeatAfterRestartDoesNotRestoreServer(boolean draining) {
    assertThat(draining ? heartbeat("draining", 1, 3) : deregister(1)).isEqualTo(OK_STATUS);
    restart(2);
    heartbeat("ready", 1, 2);
    assertNotServed();
  }

  @Test
  void nextStartOfServerIsServedAfterRestart() {
    assertThat(deregister(1)).isEqualTo(OK_STATUS);
    restart(2);
    assertThat(heartbeat("ready", 2, 1)).isEqualTo(OK_STATUS);
    RowStoreNodes.await(() -> isServed(front));
  }

  /** Guards against an acknowledgement that a restart forgets. */
  @ParameterizedTest
  @ValueSource(strings = {"BUSY", "THROTTLED", "RESET", "NO_RESPONSE"})
  void departureIsNotAcknowledgedWhileStoreIsUnavailable(Fault fault) {
    store.setFault(fault);
    assertThat(deregister(1)).isEqualTo(UNAVAILABLE_STATUS);
    assertThat(isServed(host)).isFalse();
    store.setFault(Fault.NONE);
    RowStoreNodes.await(() -> deregister(1) == OK_STATUS);
    restart(2);
    heartbeat("ready", 1, 2);
    assertNotServed();
  }

  /** Each announcement is delivered again, in any order, after each of several restarts. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void repeatedAnnouncementsOfDepartedServerAreVoid(long seed) {
    Random random = new Random(seed);
    int leavesAt = 2 + random.nextInt(ANNOUNCEMENTS);
    for (int sequence = 2; sequence < leavesAt; sequence++) {
      heartbeat("ready", 1, sequence);
    }
    boolean drains = random.nextBoolean();
    if (drains) {
      assertThat(heartbeat("draining", 1, leavesAt)).isEqualTo(OK_STATUS);
    }
    if (!drains || random.nextBoolean()) {
      assertThat(deregister(1)).isEqualTo(OK_STATUS);
    }
    for (int incarnation = 2; incarnation <= 3; incarnation++) {
      restart(incarnation);
      for (int i = 0; i < ANNOUNCEMENTS; i++) {
        heartbeat("ready", 1, 1 + random.nextInt(leavesAt - 1));
      }
      assertNotServed();
    }
  }
}
