package org.clementinepost.testing.rows;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinepost.testing.StandInServer;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;

final class MeshBackendStandInTest {
  private static final long MAX_WAIT_SECONDS = 30;
  private static final int LATER_HEARTBEATS = 3;

  @Test
  void continuesHeartbeatsAfterOneWithoutResponse() throws InterruptedException {
    AtomicInteger heartbeats = new AtomicInteger();
    CountDownLatch later = new CountDownLatch(LATER_HEARTBEATS);
    HttpServer silentAtFirst =
        HttpServer.create()
            .handle(
                (request, response) -> {
                  if (heartbeats.incrementAndGet() == 1) {
                    return Mono.never();
                  }
                  later.countDown();
                  return response.send();
                });
    try (StandInServer control = StandInServer.bind("127.0.0.1", 0, silentAtFirst);
        MeshBackendStandIn backend = MeshBackendStandIn.start("i", "s", control.address())) {
      assertThat(later.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(backend.requestCount()).isZero();
    }
  }
}
