package org.clementinepost.policy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** One partition has one home at a time, and a new one begins when the grants before have ended. */
final class TenurePropertiesTest {
  private static final long RUN_MILLIS = 120_000;

  private static void oneHomeAtATime(TenureWorld world) {
    Map<Long, TenureWorld.Grantable> lastOfEpoch = HashMap.empty();
    long newest = 0;
    for (TenureWorld.Grantable now : world.grantable()) {
      assertThat(now.epoch())
          .as("an epoch that has ended grants: %s", now)
          .isGreaterThanOrEqualTo(newest);
      if (now.epoch() > newest && newest > 0) {
        TenureWorld.Grantable before = lastOfEpoch.get(newest).get();
        assertThat(now.atNanos() - before.atNanos())
            .as("%s follows %s", now, before)
            .isGreaterThanOrEqualTo(GrantLease.LEASE_NANOS);
      }
      lastOfEpoch
          .get(now.epoch())
          .peek(same -> assertThat(now.node()).as("two homes: %s", now).isEqualTo(same.node()));
      lastOfEpoch = lastOfEpoch.put(now.epoch(), now);
      newest = now.epoch();
    }
  }

  private static void holds(long seed, TenureWorld.Faults faults, int nodes) {
    TenureWorld world = new TenureWorld(seed, faults, nodes);
    world.run(RUN_MILLIS);
    oneHomeAtATime(world);
  }

  @Property(seed = "42001", tries = 150, shrinking = ShrinkingMode.OFF)
  void crashes_and_wrong_views(@ForAll long seed, @ForAll @IntRange(min = 2, max = 7) int nodes) {
    holds(seed, new TenureWorld.Faults(0, 0, 0, 0, 0.05, 0.3), nodes);
  }

  @Property(seed = "42002", tries = 150, shrinking = ShrinkingMode.OFF)
  void pauses_and_wrong_views(@ForAll long seed, @ForAll @IntRange(min = 2, max = 7) int nodes) {
    holds(seed, new TenureWorld.Faults(0, 0, 0, 0.1, 0, 0.3), nodes);
  }

  @Property(seed = "42003", tries = 150, shrinking = ShrinkingMode.OFF)
  void nodes_that_lose_the_table(@ForAll long seed, @ForAll @IntRange(min = 2, max = 7) int nodes) {
    holds(seed, new TenureWorld.Faults(0.1, 0.1, 0.15, 0, 0, 0.3), nodes);
  }

  @Property(seed = "42004", tries = 400, shrinking = ShrinkingMode.OFF)
  void all_faults_together(@ForAll long seed, @ForAll @IntRange(min = 2, max = 7) int nodes) {
    holds(seed, new TenureWorld.Faults(0.1, 0.1, 0.1, 0.05, 0.03, 0.3), nodes);
  }

  @Test
  void a_home_goes_on_while_the_table_is_away_for_hours() {
    TenureWorld world = new TenureWorld(1, TenureWorld.Faults.none(), 5);
    world.run(10_000);
    TenureWorld.Grantable before = world.last();
    world.tableAway(2 * 3_600_000L);
    world.run(2 * 3_600_000L);
    assertThat(world.last().epoch()).isEqualTo(before.epoch());
    assertThat(world.nowNanos() - world.last().atNanos()).isLessThan(TenureWorld.millis(100));
  }

  @Test
  void a_crashed_home_is_followed_by_another() {
    TenureWorld world = new TenureWorld(2, TenureWorld.Faults.none(), 5);
    world.run(10_000);
    TenureWorld.Grantable before = world.last();
    world.crash(before.node());
    world.run(6_000);
    assertThat(world.last().epoch()).isEqualTo(before.epoch() + 1);
    oneHomeAtATime(world);
  }

  @Test
  void a_home_that_stops_is_followed_without_waiting_for_its_lease() {
    TenureWorld world = new TenureWorld(3, TenureWorld.Faults.none(), 5);
    world.run(10_000);
    TenureWorld.Grantable before = world.last();
    world.stop(before.node());
    world.run(200);
    world.crash(before.node());
    world.run(1_600);
    assertThat(world.last().epoch()).isEqualTo(before.epoch() + 1);
    oneHomeAtATime(world);
  }

  @Test
  void nobody_takes_over_while_the_table_is_away() {
    TenureWorld world = new TenureWorld(4, TenureWorld.Faults.none(), 5);
    world.run(10_000);
    TenureWorld.Grantable before = world.last();
    world.tableAway(60_000);
    world.crash(before.node());
    world.run(60_000);
    assertThat(world.last().epoch()).isEqualTo(before.epoch());
  }
}
