package org.clementinepost.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class StoreClockOffsetTest {
  private static final long FAST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long FAST_STORE_MILLIS = 5_002;

  /** This node's clock is 4,900 ms behind the store's; the quick answer took 2 ms to be given. */
  private final StoreClockOffset offset =
      StoreClockOffset.UNKNOWN.withResponse(FAST_REQUEST_NANOS, FAST_STORE_MILLIS);

  @Test
  void datesLongPollResponseByTimeOfResponse() {
    long asked = TimeUnit.MILLISECONDS.toNanos(200);
    long received = TimeUnit.MILLISECONDS.toNanos(3_210);

    long given = offset.earliestResponseNanos(asked, received, 8_105);

    assertThat(TimeUnit.NANOSECONDS.toMillis(given)).isEqualTo(3_202);
  }

  @Test
  void datesDelayedResponseByStoreClock() {
    long asked = TimeUnit.MILLISECONDS.toNanos(200);
    long received = TimeUnit.MILLISECONDS.toNanos(9_000);

    long given = offset.earliestResponseNanos(asked, received, 5_110);

    assertThat(TimeUnit.NANOSECONDS.toMillis(given)).isEqualTo(207);
  }

  @Test
  void limitsResponseTimeToBetweenRequestAndReceipt() {
    assertThat(offset.earliestResponseNanos(1_000_000_000L, 1_500_000_000L, 1))
        .isEqualTo(1_000_000_000L);
    assertThat(offset.earliestResponseNanos(1_000_000_000L, 1_500_000_000L, 99_999))
        .isEqualTo(1_500_000_000L);
  }

  @Test
  void datesResponseByRequestWhenOffsetIsUnknown() {
    assertThat(StoreClockOffset.UNKNOWN.earliestResponseNanos(7, 1_000_000, 3)).isEqualTo(7);
  }

  @Test
  void slowResponseDoesNotLoosenBound() {
    long slowAsked = TimeUnit.MILLISECONDS.toNanos(300);

    assertThat(offset.withResponse(slowAsked, 9_000)).isEqualTo(offset);
  }
}
