package org.clementinepost.policy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Snapshot;
import org.junit.jupiter.api.Test;

/** Checks which of two configurations limits a customer, for each way in which they can differ. */
final class KnownCustomersTest {
  private static final long OWN_VERSION = 7;

  private static Customer limitedTo(double ratePerSecond) {
    return new Customer(new CustomerId("clinic"), ratePerSecond, 5, 1);
  }

  private static final Customer UNLIMITED = limitedTo(0);

  private static KnownCustomers withOwn(Customer customer) {
    return KnownCustomers.none()
        .withSnapshot(Snapshot.empty().with(customer).withVersion(OWN_VERSION));
  }

  private static KnownCustomers withoutCustomer(long version) {
    return KnownCustomers.none().withSnapshot(Snapshot.empty().withVersion(version));
  }

  private static double rate(KnownCustomers customers, Customer requested, long version) {
    return customers.learn(requested, version).newest(requested).ratePerSecond();
  }

  @Test
  void customerAddedSinceHasItsLimit() {
    assertThat(rate(withoutCustomer(OWN_VERSION), limitedTo(5), 8)).isEqualTo(5);
  }

  @Test
  void leaderWithoutConfigurationUsesRequestedLimit() {
    assertThat(rate(KnownCustomers.none(), limitedTo(5), 8)).isEqualTo(5);
  }

  @Test
  void limitAddedSinceCounts() {
    assertThat(rate(withOwn(UNLIMITED), limitedTo(5), 8)).isEqualTo(5);
  }

  @Test
  void limitLoweredOrRaisedSinceCounts() {
    assertThat(rate(withOwn(limitedTo(20)), limitedTo(5), 8)).isEqualTo(5);
    assertThat(rate(withOwn(limitedTo(5)), limitedTo(20), 8)).isEqualTo(20);
  }

  @Test
  void olderRequesterIsHeldToOwnLimit() {
    assertThat(rate(withOwn(limitedTo(5)), limitedTo(20), 6)).isEqualTo(5);
    assertThat(rate(withOwn(UNLIMITED), limitedTo(20), 6)).isZero();
  }

  @Test
  void customerRemovedSinceKeepsLimitOfOlderRequester() {
    assertThat(rate(withoutCustomer(OWN_VERSION), limitedTo(5), 6)).isEqualTo(5);
  }

  @Test
  void learnedLimitHoldsForOlderRequestersToo() {
    KnownCustomers customers = withOwn(limitedTo(20)).learn(limitedTo(5), 9);
    assertThat(rate(customers, limitedTo(20), OWN_VERSION)).isEqualTo(5);
    assertThat(rate(customers, limitedTo(10), 8)).isEqualTo(5);
  }

  @Test
  void ownConfigurationThatIsAsNewReplacesLearnedLimit() {
    KnownCustomers customers = withOwn(limitedTo(20)).learn(limitedTo(5), 9);
    Snapshot older = Snapshot.empty().with(limitedTo(20)).withVersion(8);
    Snapshot newer = Snapshot.empty().with(limitedTo(6)).withVersion(9);
    assertThat(customers.withSnapshot(older).newest(limitedTo(20)).ratePerSecond()).isEqualTo(5);
    assertThat(customers.withSnapshot(newer).newest(limitedTo(20)).ratePerSecond()).isEqualTo(6);
  }

  @Test
  void customerRemovedAndAddedAgainHasItsNewLimit() {
    KnownCustomers customers = withOwn(limitedTo(20)).learn(limitedTo(5), 9);
    Snapshot removed = Snapshot.empty().withVersion(10);
    assertThat(rate(customers.withSnapshot(removed), limitedTo(3), 11)).isEqualTo(3);
  }
}
