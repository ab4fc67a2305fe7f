package org.clementinepost.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

final class TimerServiceTest {
  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<String> ticks = new ArrayList<>();
  private Address<TimerService.TimerMessage> timer;

  @BeforeEach
  void start() {
    Kernel kernel =
        Kernel.builder().scheduler(scheduler).clock(MonotonicClock.of(scheduler)).start();
    timer = kernel.find(TimerService.NAME);
  }

  private void send(TimerService.TimerMessage message) {
    timer.send(message);
    scheduler.advanceTime();
  }

  private void pass(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  @Test
  void aPeriodicSubscriptionTicksAtItsPeriod() {
    send(new TimerService.Every("a", 10, 10, () -> ticks.add("a")));
    pass(9);
    assertThat(ticks).isEmpty();
    pass(21);
    assertThat(ticks).containsExactly("a", "a", "a");
  }

  @Test
  void aSingleSubscriptionTicksOnce() {
    send(new TimerService.Once("a", 10, () -> ticks.add("a")));
    pass(100);
    assertThat(ticks).containsExactly("a");
  }

  @Test
  void aCancelledSubscriptionTicksNoMore() {
    send(new TimerService.Every("a", 10, 10, () -> ticks.add("a")));
    pass(10);
    send(new TimerService.Cancel("a"));
    pass(100);
    assertThat(ticks).containsExactly("a");
  }

  @Test
  void subscribingAgainUnderTheSameNameReplacesTheFirst() {
    send(new TimerService.Once("a", 10, () -> ticks.add("first")));
    send(new TimerService.Once("a", 20, () -> ticks.add("second")));
    pass(100);
    assertThat(ticks).containsExactly("second");
  }
}
