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

/** Several nodes join, fail, part and meet again under virtual time. */
class MembershipPolicyTest {
  private static FleetSimulation joinedFleet(int count, long seed, double loss) {
    FleetSimulation run = new FleetSimulation(seed, loss);
    run.startAll(count);
    run.runFor(60_000);
    return run;
  }

  @Test
  void nodesDiscoverEachOtherThroughRegistrations() {
    FleetSimulation run = new FleetSimulation(1, 0);
    run.startAll(3);
    run.runFor(5_000);
    assertThat(run.hasConverged()).isTrue();
  }

  @Test
  void removesKilledNodeOfThreeWithinTwoSeconds() {
    FleetSimulation run = joinedFleet(3, 2, 0);
    run.kill(node(2), false);
    run.runFor(2_000);
    assertThat(run.hasConverged()).isTrue();
  }

  @Test
  void removesSilentNodeOfThreeWithinFourSeconds() {
    FleetSimulation run = joinedFleet(3, 3, 0);
    run.kill(node(2), true);
    run.runFor(4_000);
    assertThat(run.hasConverged()).isTrue();
  }

  @Test
  void removesSilentNodeOfTwoWithinFourSeconds() {
    FleetSimulation run = joinedFleet(2, 4, 0);
    run.kill(node(1), true);
    run.runFor(4_000);
    assertThat(run.viewOf(node(0))).isEmpty();
  }

  @Test
  void removesLeavingNodeWithinOneSecond() {
    FleetSimulation run = joinedFleet(12, 5, 0);
    run.leave(node(7));
    run.runFor(1_000);
    assertThat(run.hasConverged()).isTrue();
    assertThat(run.state(node(0)).table().latestUpdate(node(7)).get().status())
        .isEqualTo(MemberStatus.LEFT);
  }

  @Test
  void linkFailureBetweenTwoNodesDeclaresNeitherDead() {
    FleetSimulation run = joinedFleet(12, 6, 0);
    NodeId one = node(3);
    NodeId next = run.state(one).table().ring().successors(one, 1).head();
    run.cut(one, next);
    run.runFor(30_000);
    assertThat(run.running())
        .allSatisfy(
            node ->
                assertThat(run.state(node).table().ring().size())
                    .as("live nodes in the table of %s", node)
                    .isEqualTo(12));
    assertThat(run.state(next).refutation()).isZero();
    assertThat(run.viewOf(one)).doesNotContain(next);
  }

  @Test
  void partitionedFleetsMergeAfterHealing() {
    FleetSimulation run = joinedFleet(12, 7, 0);
    for (int i = 0; i < 4; i++) {
      for (int j = 4; j < 12; j++) {
        run.cut(node(i), node(j));
      }
    }
    run.runFor(120_000);
    assertThat(run.viewOf(node(5))).hasSize(7);
    run.healAll();
    run.runFor(60_000);
    assertThat(run.hasConverged()).isTrue();
  }

  @Test
  void detectsDeathDuringPlatformOutage() {
    FleetSimulation run = joinedFleet(12, 8, 0);
    run.setPlatformUp(false);
    run.kill(node(1), true);
    run.runFor(10_000);
    assertThat(run.hasConverged()).isTrue();
  }

  @Test
  void nodeStartedDuringPlatformOutageJoinsAfterwards() {
    FleetSimulation run = joinedFleet(5, 9, 0);
    run.setPlatformUp(false);
    run.start(node(5), 1);
    run.runFor(60_000);
    assertThat(run.viewOf(node(5))).isEmpty();
    run.setPlatformUp(true);
    run.runFor(60_000);
    assertThat(run.hasConverged()).isTrue();
  }

  @Test
  void restartedNodeReplacesItsOldIncarnation() {
    FleetSimulation run = joinedFleet(5, 10, 0);
    run.kill(node(2), true);
    run.start(node(2), 2);
    run.runFor(10_000);
    assertThat(run.hasConverged()).isTrue();
    assertThat(run.state(node(0)).table().liveMember(node(2)).get().incarnation()).isEqualTo(2);
  }

  @Property(tries = 30, seed = "20261204")
  void viewsConvergeDespiteLostAndReorderedMessages(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 2, max = 24) int count,
      @ForAll @IntRange(min = 0, max = 20) int lossPercent) {
    FleetSimulation run = joinedFleet(count, seed, lossPercent / 100.0);
    run.kill(node((int) (seed % count)), seed % 2 == 0);
    run.start(node(count), 1);
    run.runFor(180_000);
    assertThat(run.hasConverged()).isTrue();
  }

  @Property(tries = 20, seed = "20261205")
  void convergesAfterHalfTheFleetIsLostAndRestarted(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    FleetSimulation run = joinedFleet(16, seed, 0.02);
    for (int i = 0; i < 8; i++) {
      run.kill(node(i), true);
    }
    run.runFor(60_000);
    assertThat(run.hasConverged()).isTrue();
    for (int i = 0; i < 8; i++) {
      run.start(node(i), 2);
    }
    run.runFor(120_000);
    assertThat(run.hasConverged()).isTrue();
  }
}
