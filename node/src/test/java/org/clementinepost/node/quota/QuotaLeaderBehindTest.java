package org.clementinepost.node.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collections;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Snapshot;
import org.junit.jupiter.api.Test;

/** Checks the limits of customers while the quota leader's configuration is older than others'. */
final class QuotaLeaderBehindTest {
  private static final Customer FORMER = new Customer(new CustomerId("former"), 20, 20, 1);
  private static final Customer ADDED = new Customer(new CustomerId("added"), 5, 5, 1);
  private static final Snapshot OLDER = Snapshot.empty().with(FORMER).withVersion(7);
  private static final int SECONDS = 5;

  /** The tokens that a customer of 5 per second with a burst of 5 may take in 5 s. */
  private static final int PERMITTED = 5 * SECONDS + 5;

  private final QuotaFixture quota = QuotaFixture.start(OLDER);

  /** Requests tokens of a customer at all nodes but the leader; returns how many were granted. */
  private int takeTokens(Customer customer, int perSecond) {
    quota.resultCodes().clear();
    for (int i = 0; i < perSecond * SECONDS; i++) {
      quota.requestToken(quota.followers().get(i % quota.followers().size()), customer);
      quota.advanceTime(Duration.ofMillis(1_000 / perSecond));
    }
    quota.advanceTime(Duration.ofMillis(100));
    return Collections.frequency(quota.resultCodes(), ResultCode.OK);
  }

  private void electLeader() {
    quota.nodeIds().forEach(node -> quota.requestToken(node, FORMER));
    quota.advanceTime(Duration.ofSeconds(1));
  }

  private void configureFollowers(Snapshot snapshot) {
    for (NodeId node : quota.followers()) {
      quota.configure(node, snapshot);
    }
    quota.advanceTime(Duration.ofMillis(1));
  }

  /** Guards against a leader that grants every request of a customer that it doesn't know. */
  @Test
  void limitsCustomerThatLeaderDoesNotKnow() {
    electLeader();
    configureFollowers(OLDER.with(ADDED).withVersion(9));

    assertThat(takeTokens(ADDED, 37)).isBetween(PERMITTED - 1, PERMITTED + 1);
  }

  @Test
  void servesUnknownCustomerWithinItsLimit() {
    electLeader();
    configureFollowers(OLDER.with(ADDED).withVersion(9));

    assertThat(takeTokens(ADDED, 4)).isEqualTo(4 * SECONDS);
    assertThat(quota.resultCodes()).containsOnly(ResultCode.OK);
  }

  /** Guards against a leader that applies an older, higher limit than the requesters know. */
  @Test
  void appliesLimitThatWasLoweredSince() {
    electLeader();
    Customer lowered = new Customer(FORMER.id(), 5, 5, 1);
    configureFollowers(OLDER.with(lowered).withVersion(9));

    assertThat(takeTokens(lowered, 37)).isLessThanOrEqualTo(PERMITTED + 1);
  }

  @Test
  void appliesLimitThatWasRaisedSince() {
    electLeader();
    Customer raised = new Customer(FORMER.id(), 200, 200, 1);
    configureFollowers(OLDER.with(raised).withVersion(9));

    assertThat(takeTokens(raised, 100)).isEqualTo(100 * SECONDS);
  }

  @Test
  void appliesLeadersLimitToRequesterThatIsBehind() {
    electLeader();
    quota.configure(
        quota.leaderInStore(), OLDER.with(new Customer(FORMER.id(), 5, 5, 1)).withVersion(9));
    quota.advanceTime(Duration.ofMillis(1));

    assertThat(takeTokens(FORMER, 37)).isLessThanOrEqualTo(PERMITTED + 1);
  }
}
