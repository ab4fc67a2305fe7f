package org.clementinepost.policy.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.clementinepost.policy.membership.FleetSimulation.node;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.junit.jupiter.api.Test;

/**
 * Checks that simulated nodes agree on the live nodes through joins, failures, partitions and
 * merges.
 */
class MembershipPolicyTest {
  private static FleetSimulation joinedFleet(int count, long seed, double lossProbability) {
    FleetSimulation fleet = new FleetSimulation(seed, lossProbability);
    fleet.startAll(count);
    fleet.runFor(60_000);
    return fleet;
  }

  @Test
  void nodesDiscoverEachOtherThroughRegistrations() {
    FleetSimulation fleet = new FleetSimulation(1, 0);
    fleet.startAll(3);
    fleet.runFor(5_000);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void removesKilledNodeOfThreeWithinTwoSeconds() {
    FleetSimulation fleet = joinedFleet(3, 2, 0);
    fleet.kill(node(2), false);
    fleet.runFor(2_000);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void removesSilentNodeOfThreeWithinFourSeconds() {
    FleetSimulation fleet = joinedFleet(3, 3, 0);
    fleet.kill(node(2), true);
    fleet.runFor(4_000);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void removesSilentNodeOfTwoWithinFourSeconds() {
    FleetSimulation fleet = joinedFleet(2, 4, 0);
    fleet.kill(node(1), true);
    fleet.runFor(4_000);
    assertThat(fleet.viewOf(node(0))).isEmpty();
  }

  @Test
  void removesLeavingNodeWithinOneSecond() {
    FleetSimulation fleet = joinedFleet(12, 5, 0);
    fleet.leave(node(7));
    fleet.runFor(1_000);
    assertThat(fleet.hasConverged()).isTrue();
    assertThat(fleet.state(node(0)).table().latestUpdate(node(7)).get().status())
        .isEqualTo(MemberStatus.LEFT);
  }

  @Test
  void linkFailureBetweenTwoNodesDeclaresNeitherDead() {
    FleetSimulation fleet = joinedFleet(12, 6, 0);
    NodeId one = node(3);
    NodeId next = fleet.state(one).table().ring().successors(one, 1).head();
    fleet.cut(one, next);
    fleet.runFor(30_000);
    assertThat(fleet.running())
        .allSatisfy(
            node ->
                assertThat(fleet.state(node).table().ring().size())
                    .as("live nodes in the table of %s", node)
                    .isEqualTo(12));
    assertThat(fleet.state(next).refutation()).isZero();
    assertThat(fleet.viewOf(one)).doesNotContain(next);
  }

  @Test
  void partitionedFleetsMergeAfterHealing() {
    FleetSimulation fleet = joinedFleet(12, 7, 0);
    for (int i = 0; i < 4; i++) {
      for (int j = 4; j < 12; j++) {
        fleet.cut(node(i), node(j));
      }
    }
    fleet.runFor(120_000);
    assertThat(fleet.viewOf(node(5))).hasSize(7);
    fleet.healAll();
    fleet.runFor(60_000);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void detectsDeathDuringPlatformOutage() {
    FleetSimulation fleet = joinedFleet(12, 8, 0);
    fleet.setPlatformUp(false);
    fleet.kill(node(1), true);
    fleet.runFor(10_000);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void nodeStartedDuringPlatformOutageJoinsAfterwards() {
    FleetSimulation fleet = joinedFleet(5, 9, 0);
    fleet.setPlatformUp(false);
    fleet.start(node(5), 1);
    fleet.runFor(60_000);
    assertThat(fleet.viewOf(node(5))).isEmpty();
    fleet.setPlatformUp(true);
    fleet.runFor(60_000);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void restartedNodeReplacesItsOldIncarnation() {
    FleetSimulation fleet = joinedFleet(5, 10, 0);
    fleet.kill(node(2), true);
    fleet.start(node(2), 2);
    fleet.runFor(10_000);
    assertThat(fleet.hasConverged()).isTrue();
    assertThat(fleet.state(node(0)).table().liveMember(node(2)).get().incarnation()).isEqualTo(2);
  }

  @Property(tries = 30, seed = "20261204")
  void viewsConvergeDespiteLostAndReorderedMessages(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 2, max = 24) int count,
      @ForAll @IntRange(min = 0, max = 20) int lossPercent) {
    FleetSimulation fleet = joinedFleet(count, seed, lossPercent / 100.0);
    fleet.kill(node((int) (seed % count)), seed % 2 == 0);
    fleet.start(node(count), 1);
    fleet.runFor(180_000);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Property(tries = 20, seed = "20261205")
  void convergesAfterHalfTheFleetIsLostAndRestarted(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    FleetSimulation fleet = joinedFleet(16, seed, 0.02);
    for (int i = 0; i < 8; i++) {
      fleet.kill(node(i), true);
    }
    fleet.runFor(60_000);
    assertThat(fleet.hasConverged()).isTrue();
    for (int i = 0; i < 8; i++) {
      fleet.start(node(i), 2);
    }
    fleet.runFor(120_000);
    assertThat(fleet.hasConverged()).isTrue();
  }
}
