package org.clementinepost.testing.rows;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinepost.testing.StandInServer;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;

/** Tests the heartbeats of {@link HeartbeatBackendStandIn}. */
final class HeartbeatBackendStandInTest {
  private static final long MAX_WAIT_SECONDS = 30;
  private static final int LATER_HEARTBEATS = 3;

  @Test
  void continuesHeartbeatsAfterOneWithoutResponse() throws InterruptedException {
    AtomicInteger heartbeats = new AtomicInteger();
    CountDownLatch laterHeartbeats = new CountDownLatch(LATER_HEARTBEATS);
    HttpServer silentOnFirstHeartbeat =
        HttpServer.create()
            .handle(
                (request, response) -> {
                  if (heartbeats.incrementAndGet() == 1) {
                    return Mono.never();
                  }
                  laterHeartbeats.countDown();
                  return response.send();
                });
    try (StandInServer node = StandInServer.bind("127.0.0.1", 0, silentOnFirstHeartbeat);
        HeartbeatBackendStandIn backend = HeartbeatBackendStandIn.start("i", "s", node.address())) {
      assertThat(laterHeartbeats.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(backend.requestCount()).isZero();
    }
  }
}
