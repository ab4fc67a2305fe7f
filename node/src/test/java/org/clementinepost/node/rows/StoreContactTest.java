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

final class StoreContactTest {
  private static final Failure AWAY = Failure.of(ResultCode.PLATFORM_UNAVAILABLE);

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final Kernel kernel =
      Kernel.builder().scheduler(scheduler).clock(MonotonicClock.of(scheduler)).start();
  private final List<String> asked = new ArrayList<>();
  private final StoreContact contact =
      new StoreContact("rows", kernel, 500, () -> asked.add("asked"));

  private void pass(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  @Test
  void aLostStoreIsAskedAgainAfterAWhile() {
    contact.lost(AWAY);
    pass(499);
    assertThat(asked).isEmpty();

    pass(1);

    assertThat(asked).hasSize(1);
  }

  @Test
  void aSecondLossBeforeTheWaitHasEndedAsksOnce() {
    contact.lost(AWAY);
    pass(300);
    contact.lost(AWAY);

    pass(1_000);

    assertThat(asked).hasSize(1);
  }

  @Test
  void aRegainedStoreIsNotAskedByTheContact() {
    contact.regained();

    pass(1_000);

    assertThat(asked).isEmpty();
  }
}
