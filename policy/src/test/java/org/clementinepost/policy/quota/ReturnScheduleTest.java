package org.clementinepost.policy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;
import org.junit.jupiter.api.Test;

/** Replays customers that send many times their rate. */
final class ReturnScheduleTest {
  private static final Customer LARGE = customer("large", 10);
  private static final Customer SMALL = customer("small", 2);

  private ReturnSchedule schedule = ReturnSchedule.EMPTY;

  private static Customer customer(String name, double ratePerSecond) {
    return new Customer(new CustomerId(name), ratePerSecond, 10, 1, Option.none());
  }

  private long refuse(Customer customer, long tokenWaitMillis, long nowMillis) {
    ReturnSchedule.Slot slot =
        schedule.next(customer, tokenWaitMillis, TimeUnit.MILLISECONDS.toNanos(nowMillis));
    schedule = slot.schedule();
    return slot.waitMillis();
  }

  @Test
  void requestsRefusedTogetherComeBackOneByOneAtTheRateOfTokens() {
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      waits.add(refuse(LARGE, 60, 1_000));
    }
    assertThat(waits).containsExactly(60L, 160L, 260L, 360L, 460L);
  }

  @Test
  void oneCustomerDoesNotDelayAnother() {
    for (int i = 0; i < 50; i++) {
      refuse(LARGE, 60, 1_000);
    }
    assertThat(refuse(SMALL, 300, 1_000)).isEqualTo(300);
  }

  @Test
  void timesThatHavePassedDoNotCount() {
    for (int i = 0; i < 5; i++) {
      refuse(LARGE, 60, 1_000);
    }
    assertThat(refuse(LARGE, 40, 5_000)).isEqualTo(40);
  }

  @Test
  void waitIsBounded() {
    long last = 0;
    for (int i = 0; i < 1_000; i++) {
      last = refuse(SMALL, 300, 1_000);
    }
    assertThat(last).isEqualTo(10_000);
  }
}
