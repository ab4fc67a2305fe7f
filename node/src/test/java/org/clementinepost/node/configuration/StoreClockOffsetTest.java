package org.clementinepost.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class StoreClockOffsetTest {
  private static final long FAST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long FAST_STORE_MILLIS = 5_002;

  /** The node's clock is 4,900 ms behind the store's; the store took 2 ms to send the response. */
  private final StoreClockOffset offset =
      StoreClockOffset.UNKNOWN.withResponse(FAST_REQUEST_NANOS, FAST_STORE_MILLIS);

  @Test
  void datesLongPollResponseByStoreClock() {
    long requestNanos = TimeUnit.MILLISECONDS.toNanos(200);
    long receivedNanos = TimeUnit.MILLISECONDS.toNanos(3_210);

    long responseNanos = offset.earliestResponseNanos(requestNanos, receivedNanos, 8_105);

    assertThat(TimeUnit.NANOSECONDS.toMillis(responseNanos)).isEqualTo(3_202);
  }

  @Test
  void datesLateResponseByStoreClockNotByReceipt() {
    long requestNanos = TimeUnit.MILLISECONDS.toNanos(200);
    long receivedNanos = TimeUnit.MILLISECONDS.toNanos(9_000);

    long responseNanos = offset.earliestResponseNanos(requestNanos, receivedNanos, 5_110);

    assertThat(TimeUnit.NANOSECONDS.toMillis(responseNanos)).isEqualTo(207);
  }

  @Test
  void keepsResponseTimeBetweenRequestAndReceipt() {
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
    long slowRequestNanos = TimeUnit.MILLISECONDS.toNanos(300);

    assertThat(offset.withResponse(slowRequestNanos, 9_000)).isEqualTo(offset);
  }
}
