package org.clementinepost.policy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;
import org.junit.jupiter.api.Test;

/**
 * Checks that the table keeps the latest update about each node, in whatever order updates arrive.
 */
class MemberTableTest {
  private static MemberUpdate update(int node, long incarnation, int refutation, int status) {
    return new MemberUpdate(
        FleetSimulation.member(FleetSimulation.node(node), incarnation),
        refutation,
        Vector.of(MemberStatus.values()).get(status));
  }

  private static MemberTable applyIfNewer(MemberTable table, MemberUpdate update) {
    return table.isNewer(update) ? table.withUpdate(update, 0) : table;
  }

  private static Vector<MemberUpdate> shuffled(Vector<MemberUpdate> updates, Random random) {
    List<MemberUpdate> all = updates.toJavaList();
    Collections.shuffle(all, random);
    return Vector.ofAll(all);
  }

  @Test
  void olderIncarnationDoesNotBringDeadNodeBack() {
    MemberTable table = applyIfNewer(MemberTable.empty(), update(1, 5, 0, 1));
    table = applyIfNewer(table, update(1, 4, 9, 0));
    table = applyIfNewer(table, update(1, 5, 0, 0));
    assertThat(table.liveMember(FleetSimulation.node(1))).isEmpty();
  }

  @Test
  void refutationBringsNodeBack() {
    MemberTable table = applyIfNewer(MemberTable.empty(), update(1, 5, 0, 1));
    table = applyIfNewer(table, update(1, 5, 1, 0));
    assertThat(table.liveMember(FleetSimulation.node(1))).isNotEmpty();
  }

  @Test
  void returnsOnlyUpdatesInDifferingBuckets() {
    MemberTable one = MemberTable.empty();
    for (int i = 0; i < 500; i++) {
      one = one.withUpdate(update(i, 1, 0, 0), 0);
    }
    MemberTable other = one.withUpdate(update(7, 2, 0, 0), 0);
    assertThat(one.updatesInDifferingBuckets(one.bucketHashes())).isEmpty();
    assertThat(other.updatesInDifferingBuckets(one.bucketHashes()))
        .contains(update(7, 2, 0, 0))
        .hasSizeLessThan(40);
  }

  @Test
  void removesOldDeadMembersButKeepsLiveOnes() {
    MemberTable table =
        MemberTable.empty().withUpdate(update(1, 1, 0, 1), 10).withUpdate(update(2, 1, 0, 0), 10);
    assertThat(table.withoutDeadBefore(11).entries()).hasSize(1);
    assertThat(table.withoutDeadBefore(10).entries()).hasSize(2);
  }

  @Property(tries = 100, seed = "20261204")
  void sameUpdatesInAnyOrderGiveTheSameTable(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    Vector<MemberUpdate> updates =
        Vector.fill(
            60,
            () ->
                update(random.nextInt(8), random.nextInt(3), random.nextInt(3), random.nextInt(3)));
    MemberTable one = updates.foldLeft(MemberTable.empty(), MemberTableTest::applyIfNewer);
    MemberTable other =
        shuffled(updates, random).foldLeft(MemberTable.empty(), MemberTableTest::applyIfNewer);
    assertThat(other.bucketHashes()).isEqualTo(one.bucketHashes());
    assertThat(other.entries()).isEqualTo(one.entries());
    assertThat(other.ring().nodes()).isEqualTo(one.ring().nodes());
  }
}
