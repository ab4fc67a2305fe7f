package org.clementinepost.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class StoreClockTest {
  private static final long QUICK_ASKED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long QUICK_STORE_MILLIS = 5_002;

  /** This node's clock is 4,900 ms behind the store's; the quick answer took 2 ms to be given. */
  private final StoreClock clock =
      StoreClock.UNKNOWN.answered(QUICK_ASKED_NANOS, QUICK_STORE_MILLIS);

  @Test
  void anAnswerThatWasWaitedForHoldsAsOfItsEnd() {
    long asked = TimeUnit.MILLISECONDS.toNanos(200);
    long received = TimeUnit.MILLISECONDS.toNanos(3_210);

    long given = clock.givenNanos(asked, received, 8_105);

    assertThat(TimeUnit.NANOSECONDS.toMillis(given)).isEqualTo(3_202);
  }

  @Test
  void anAnswerThatWasLongOnItsWayIsAsOldAsTheStoreSays() {
    long asked = TimeUnit.MILLISECONDS.toNanos(200);
    long received = TimeUnit.MILLISECONDS.toNanos(9_000);

    long given = clock.givenNanos(asked, received, 5_110);

    assertThat(TimeUnit.NANOSECONDS.toMillis(given)).isEqualTo(207);
  }

  @Test
  void anAnswerIsNeverOlderThanItsQuestionNorYoungerThanItsArrival() {
    assertThat(clock.givenNanos(1_000_000_000L, 1_500_000_000L, 1)).isEqualTo(1_000_000_000L);
    assertThat(clock.givenNanos(1_000_000_000L, 1_500_000_000L, 99_999)).isEqualTo(1_500_000_000L);
  }

  @Test
  void theFirstAnswerIsDatedByItsQuestion() {
    assertThat(StoreClock.UNKNOWN.givenNanos(7, 1_000_000, 3)).isEqualTo(7);
  }

  @Test
  void aSlowerAnswerLoosensNoBound() {
    long slowAsked = TimeUnit.MILLISECONDS.toNanos(300);

    assertThat(clock.answered(slowAsked, 9_000)).isEqualTo(clock);
  }
}
