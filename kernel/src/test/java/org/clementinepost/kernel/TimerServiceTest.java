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

  private void advanceBy(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  @Test
  void periodicSubscriptionTicksAtItsPeriod() {
    send(new TimerService.Every("a", 10, 10, () -> ticks.add("a")));
    advanceBy(9);
    assertThat(ticks).isEmpty();
    advanceBy(21);
    assertThat(ticks).containsExactly("a", "a", "a");
  }

  @Test
  void oneShotSubscriptionTicksOnce() {
    send(new TimerService.Once("a", 10, () -> ticks.add("a")));
    advanceBy(100);
    assertThat(ticks).containsExactly("a");
  }

  @Test
  void cancelledSubscriptionDoesNotTick() {
    send(new TimerService.Every("a", 10, 10, () -> ticks.add("a")));
    advanceBy(10);
    send(new TimerService.Cancel("a"));
    advanceBy(100);
    assertThat(ticks).containsExactly("a");
  }

  @Test
  void replacesSubscriptionWithSameName() {
    send(new TimerService.Once("a", 10, () -> ticks.add("first")));
    send(new TimerService.Once("a", 20, () -> ticks.add("second")));
    advanceBy(100);
    assertThat(ticks).containsExactly("second");
  }
}
