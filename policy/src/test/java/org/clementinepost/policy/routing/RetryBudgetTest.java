package org.clementinepost.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays a service that sheds or refuses everything, before a fleet that wants to retry it. */
final class RetryBudgetTest {
  private static final Endpoint SERVER = RoutingFixture.endpoint("s-1", "a");
  private static final double FRACTION = 0.2;

  private final RoutingFixture routing =
      new RoutingFixture(
          Vector.of(
              SERVER, RoutingFixture.endpoint("s-2", "a"), RoutingFixture.endpoint("s-3", "a")),
          RetryLimits.ofFleet(FRACTION, 0, 1));

  /** Sends first attempts that reach their server, so that the node may retry some. */
  private void sendRequests(int requests) {
    for (int i = 0; i < requests; i++) {
      routing.failAttempt(SERVER, 1, ResultCode.BACKEND_SERVER_SHED);
    }
  }

  @ParameterizedTest
  @CsvSource({"26, 28", "30, 60", "113, 230", "1000, 2000"})
  void burstOfWholeFleetStaysWithinItsBoundAlsoAcrossRestarts(int nodes, int burst) {
    RetryLimits limits = RetryLimits.ofFleet(FRACTION, burst, nodes);
    long beforeRestart = limits.maxMilliTokens();
    long afterRestart = limits.initialMilliTokens();

    assertThat(nodes * (beforeRestart + afterRestart) / 1_000.0).isLessThanOrEqualTo(burst);
    assertThat(beforeRestart).isGreaterThanOrEqualTo(RetryLimits.MILLI_TOKENS_PER_RETRY);
  }

  @Test
  void sustainedRetriesStayWithinFractionOfRequests() {
    int retries = 0;
    for (int i = 0; i < 500; i++) {
      sendRequests(1);
      if (routing.placeRetry().isRight()) {
        retries++;
        routing.failAttempt(SERVER, 2, ResultCode.BACKEND_SERVER_SHED);
      }
    }
    assertThat(retries).isBetween(70, 100);
  }

  @Test
  void requestThatManyHostsRefuseEarnsNoRetry() {
    for (int i = 0; i < 100; i++) {
      routing.failAttempt(SERVER, 1, ResultCode.BACKEND_SERVER_FAILING);
    }
    assertThat(routing.placeRetry().getLeft().code()).isEqualTo(ResultCode.RETRY_BUDGET_SPENT);
  }

  @Test
  void retryThatHostRefusesIsNotSpent() {
    sendRequests(10);
    for (int i = 0; i < 5; i++) {
      assertThat(routing.placeRetry().isRight()).isTrue();
      routing.failAttempt(SERVER, 2, ResultCode.BACKEND_SERVER_FAILING);
    }
    assertThat(routing.placeRetry().isRight()).isTrue();
    routing.failAttempt(SERVER, 2, ResultCode.BACKEND_SERVER_SHED);
    assertThat(routing.placeRetry().isLeft()).isTrue();
  }
}
