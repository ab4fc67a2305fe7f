package org.clementinepost.policy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.config.Customer;
import org.junit.jupiter.api.Test;

final class QuotaBucketsTest {
  private static final Customer CUSTOMER = new Customer(new CustomerId("c"), 20, 10, 1);
  private static final int WINDOW_SECONDS = 5;

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static int grantedTokens(QuotaBuckets buckets, long fromMillis, long toMillis) {
    QuotaBuckets now = buckets;
    int granted = 0;
    for (long millis = fromMillis; millis < toMillis; millis++) {
      Option<QuotaBuckets> next = now.take(CUSTOMER, nanos(millis));
      granted += next.isDefined() ? 1 : 0;
      now = next.getOrElse(now);
    }
    return granted;
  }

  @Test
  void bucketsStartEmpty() {
    assertThat(QuotaBuckets.emptyAt(nanos(0)).take(CUSTOMER, nanos(40)).isEmpty()).isTrue();
    assertThat(QuotaBuckets.emptyAt(nanos(0)).take(CUSTOMER, nanos(50)).isDefined()).isTrue();
  }

  @Test
  void grantsAtMostRateAndBurstWithinWindow() {
    int maxTokens = 20 * WINDOW_SECONDS + 10;
    assertThat(grantedTokens(QuotaBuckets.emptyAt(nanos(0)), 60_000, 65_000))
        .isBetween(maxTokens - 1, maxTokens);
  }

  @Test
  void nextTokenIsAvailableAfterWait() {
    QuotaBuckets buckets = QuotaBuckets.emptyAt(nanos(0));
    long waitMillis = buckets.waitMillis(CUSTOMER, nanos(10));
    assertThat(waitMillis).isEqualTo(40);
    assertThat(buckets.take(CUSTOMER, nanos(10 + waitMillis)).isDefined()).isTrue();
  }

  @Test
  void emergencyAllowanceOfAllNodesStaysWithinTolerance() {
    EmergencyAllowance allowance = new EmergencyAllowance(0.1, 20, WINDOW_SECONDS);
    for (double ratePerSecond : new double[] {1, 3, 20, 300}) {
      Customer customer =
          new Customer(new CustomerId("c" + ratePerSecond), ratePerSecond, (int) ratePerSecond, 1);
      double tolerated = 0.1 * (ratePerSecond * WINDOW_SECONDS + ratePerSecond) + 20;
      for (int nodes : new int[] {3, 27, 102}) {
        assertThat((double) tokensTakenByAllNodes(allowance, customer, nodes))
            .isLessThanOrEqualTo(tolerated);
      }
    }
  }

  private static int tokensTakenByAllNodes(
      EmergencyAllowance allowance, Customer customer, int nodes) {
    int taken = 0;
    for (int node = 0; node < nodes; node++) {
      QuotaBuckets buckets = QuotaBuckets.emptyAt(nanos(0));
      for (long millis = 60_000; millis < 65_000; millis += 50) {
        Option<QuotaBuckets> next =
            allowance.take(buckets, customer, new NodeId("node-" + node), nodes, nanos(millis));
        taken += next.isDefined() ? 1 : 0;
        buckets = next.getOrElse(buckets);
      }
    }
    return taken;
  }
}
