package org.clementinepost.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.MonotonicClock;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

final class StoreAvailabilityTest {
  private static final Failure UNAVAILABLE = Failure.of(ResultCode.PLATFORM_UNAVAILABLE);

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final Kernel kernel =
      Kernel.builder().scheduler(scheduler).clock(MonotonicClock.of(scheduler)).start();
  private final List<String> calls = new ArrayList<>();
  private final StoreAvailability availability =
      new StoreAvailability("rows", kernel, 500, () -> calls.add("called"));

  private void advanceMillis(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  @Test
  void callsStoreAgainAfterRetryDelay() {
    availability.onFailure(UNAVAILABLE);
    advanceMillis(499);
    assertThat(calls).isEmpty();

    advanceMillis(1);

    assertThat(calls).hasSize(1);
  }

  @Test
  void callsStoreOnceWhenSecondFailurePrecedesRetry() {
    availability.onFailure(UNAVAILABLE);
    advanceMillis(300);
    availability.onFailure(UNAVAILABLE);

    advanceMillis(1_000);

    assertThat(calls).hasSize(1);
  }

  @Test
  void doesNotCallStoreAfterSuccess() {
    availability.onSuccess();

    advanceMillis(1_000);

    assertThat(calls).isEmpty();
  }
}
