package org.clementinepost.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.util.List;
import org.clementinepost.api.Endpoint;
import org.junit.jupiter.api.Test;

final class DomainPreferenceTest {
  private static final int REQUESTS = 200;

  private final Vector<Endpoint> own =
      Vector.range(0, 4).map(i -> RoutingFixture.endpoint("a-" + i, "a"));
  private final Vector<Endpoint> others =
      Vector.range(0, 4)
          .flatMap(
              i ->
                  Vector.of(
                      RoutingFixture.endpoint("b-" + i, "b"),
                      RoutingFixture.endpoint("c-" + i, "c")));
  private final RoutingFixture node = new RoutingFixture(own.appendAll(others));

  @Test
  void servesOwnDomainWhileItKeepsFloor() {
    node.eject(own.get(0));
    List<Endpoint> placed = node.placeNonIdempotent(REQUESTS);
    assertThat(placed).allMatch(endpoint -> endpoint.domain().equals(RoutingFixture.OWN_DOMAIN));
  }

  /** Guards against floors that hold over all domains while one domain is passed over. */
  @Test
  void requestsLeaveDomainThatFellBelowFloor() {
    own.take(3).forEach(node::eject);
    List<Endpoint> placed = node.placeNonIdempotent(REQUESTS);
    assertThat(placed).doesNotContainAnyElementsOf(own.take(3));
    assertThat(placed).containsAll(others);
  }
}
