package org.clementinepost.api.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.ServiceId;
import org.junit.jupiter.api.Test;

final class DeltaTest {
  private static final int ROUTES = 200_000;
  private static final Snapshot EMPTY = Snapshot.empty();

  private static Route route(String name, String prefix) {
    return new Route(name, prefix, new ServiceId("s"), false, HashSet.empty());
  }

  private static Customer customer(String name, int burstRequests) {
    return new Customer(new CustomerId(name), 1, burstRequests, 1);
  }

  @Test
  void listsAddedRemovedAndChangedObjects() {
    Snapshot before =
        EMPTY
            .with(customer("kept", 1))
            .with(customer("changed", 1))
            .with(new Drain(new BackendServerId("gone")));
    Snapshot after =
        EMPTY
            .with(customer("kept", 1))
            .with(customer("changed", 2))
            .with(customer("new", 1))
            .withVersion(1);

    Delta delta = Delta.between(before, after);

    assertThat(delta.removals())
        .containsExactly(customer("changed", 1), new Drain(new BackendServerId("gone")));
    assertThat(delta.upserts()).containsExactly(customer("changed", 2), customer("new", 1));
    assertThat(before.apply(delta)).isEqualTo(after);
  }

  @Test
  void keepsBothRoutesThatSwapPrefixes() {
    Snapshot before = EMPTY.with(route("a", "/x")).with(route("b", "/y"));
    Snapshot after = EMPTY.with(route("a", "/y")).with(route("b", "/x")).withVersion(1);

    assertThat(before.apply(Delta.between(before, after))).isEqualTo(after);
  }

  @Test
  void removesOldHashWhenKeyHashChanges() {
    Snapshot before = EMPTY.with(new ApiKey("k", new CustomerId("c"), "aa"));
    Snapshot after = EMPTY.with(new ApiKey("k", new CustomerId("c"), "bb")).withVersion(1);

    Snapshot next = before.apply(Delta.between(before, after));

    assertThat(next.keyByHash("aa").isEmpty()).isTrue();
    assertThat(next.keyByHash("bb").isDefined()).isTrue();
  }

  @Test
  void rejectsDeltaFromAnotherVersion() {
    Delta delta = Delta.between(EMPTY.withVersion(3), EMPTY.withVersion(4));

    assertThatThrownBy(() -> EMPTY.apply(delta)).isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void changesOneOfManyRoutesAndSharesTheRest() {
    RouteTable routes = RouteTable.empty();
    for (int i = 0; i < ROUTES; i++) {
      routes = routes.with(route("r" + i, "/p" + i % 100 + "/q" + i));
    }
    Snapshot before =
        new Snapshot(
            7,
            EMPTY.customers(),
            EMPTY.keys(),
            EMPTY.services(),
            EMPTY.domains(),
            routes,
            EMPTY.drains());

    Snapshot after =
        before.apply(
            new Delta(7, 8, Vector.of(route("r5", "/p5/q5")), Vector.of(route("r5", "/p5/other"))));

    assertThat(after.routes().match("/p5/q5/z")).isEqualTo(Option.none());
    assertThat(after.routes().match("/p5/other/z").map(Route::name)).containsExactly("r5");
    assertThat(after.routes().match("/p99/q199999").get())
        .isSameAs(before.routes().match("/p99/q199999").get());
  }
}
