package org.clementinepost.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SuspendAwareClockTest {
  private long monotonicNanos = 5_000_000_000L;
  private long wallMillis = 1_000_000;
  private final SuspendAwareClock clock =
      new SuspendAwareClock(() -> monotonicNanos, () -> wallMillis);

  private long elapsedMillis(long monotonicMillis, long wallElapsedMillis) {
    long before = clock.nowNanos();
    monotonicNanos += TimeUnit.MILLISECONDS.toNanos(monotonicMillis);
    wallMillis += wallElapsedMillis;
    return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - before);
  }

  @Test
  void countsTimeWhileVmIsSuspended() {
    assertThat(elapsedMillis(10, 4_010)).isEqualTo(4_010);
    assertThat(elapsedMillis(500, 500)).isEqualTo(500);
  }

  @Test
  void ignoresWallClockSetBack() {
    assertThat(elapsedMillis(1_000, -2_000)).isEqualTo(1_000);
    assertThat(elapsedMillis(1_000, 4_000)).isEqualTo(1_000);
  }

  @Test
  void neverRunsBackWhenWallClockIsSetAheadAndBack() {
    assertThat(elapsedMillis(1_000, 3_000)).isEqualTo(3_000);
    assertThat(elapsedMillis(1_000, -1_000)).isEqualTo(1_000);
  }
}
