package org.clementinepost.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.junit.jupiter.api.Test;

final class EjectionEndTest {
  private static final long TICK_INTERVAL_MILLIS = 200;

  /** Longer than the first backoff and the wait for a trial together. */
  private static final long FIRST_EJECTION_MILLIS = 3_000;

  private static final Vector<Endpoint> ENDPOINTS =
      Vector.range(0, 4).map(i -> RoutingFixture.endpoint("s-" + i, "a"));

  private final Endpoint faulty = ENDPOINTS.head();
  private final RoutingFixture node = new RoutingFixture(ENDPOINTS);

  /** Guards against servers that stay ejected at nodes without idempotent requests. */
  @Test
  void ejectionEndsWithoutIdempotentRequests() {
    node.eject(faulty);
    assertThat(node.placeNonIdempotent(50)).doesNotContain(faulty);

    node.pass(FIRST_EJECTION_MILLIS, TICK_INTERVAL_MILLIS);
    assertThat(node.placeNonIdempotent(50)).contains(faulty);
  }

  @Test
  void ejectionDoesNotEndBeforeTrialWasDue() {
    node.eject(faulty);
    node.pass(400, TICK_INTERVAL_MILLIS);
    assertThat(node.placeNonIdempotent(50)).doesNotContain(faulty);
  }

  @Test
  void failedTrialPostponesEndOfEjection() {
    node.eject(faulty);
    node.pass(1_800, TICK_INTERVAL_MILLIS);
    assertThat(node.placeIdempotent()).isEqualTo(faulty);
    node.onSlowResponse(faulty);

    node.pass(1_600, TICK_INTERVAL_MILLIS);
    assertThat(node.placeNonIdempotent(50)).doesNotContain(faulty);
  }

  @Test
  void secondEjectionLastsLonger() {
    node.eject(faulty);
    node.pass(2_000, TICK_INTERVAL_MILLIS);
    node.eject(faulty);
    node.pass(2_000, TICK_INTERVAL_MILLIS);
    assertThat(node.placeNonIdempotent(50)).doesNotContain(faulty);

    node.pass(1_000, TICK_INTERVAL_MILLIS);
    assertThat(node.placeNonIdempotent(50)).contains(faulty);
  }
}
