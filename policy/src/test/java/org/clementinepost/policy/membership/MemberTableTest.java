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

/** The table keeps the newest news, whatever the order in which it comes. */
class MemberTableTest {
  private static MemberUpdate update(int node, long incarnation, int refutation, int status) {
    return new MemberUpdate(
        FleetRun.member(FleetRun.node(node), incarnation),
        refutation,
        Vector.of(MemberStatus.values()).get(status));
  }

  private static MemberTable learn(MemberTable table, MemberUpdate update) {
    return table.isNews(update) ? table.with(update, 0) : table;
  }

  private static Vector<MemberUpdate> shuffled(Vector<MemberUpdate> news, Random random) {
    List<MemberUpdate> all = news.toJavaList();
    Collections.shuffle(all, random);
    return Vector.ofAll(all);
  }

  @Test
  void olderIncarnationDoesNotBringDeadNodeBack() {
    MemberTable table = learn(MemberTable.empty(), update(1, 5, 0, 1));
    table = learn(table, update(1, 4, 9, 0));
    table = learn(table, update(1, 5, 0, 0));
    assertThat(table.live(FleetRun.node(1))).isEmpty();
  }

  @Test
  void denialBringsNodeBack() {
    MemberTable table = learn(MemberTable.empty(), update(1, 5, 0, 1));
    table = learn(table, update(1, 5, 1, 0));
    assertThat(table.live(FleetRun.node(1))).isNotEmpty();
  }

  @Test
  void sendsOnlyTheBucketsThatDiffer() {
    MemberTable one = MemberTable.empty();
    for (int i = 0; i < 500; i++) {
      one = one.with(update(i, 1, 0, 0), 0);
    }
    MemberTable other = one.with(update(7, 2, 0, 0), 0);
    assertThat(one.differing(one.buckets())).isEmpty();
    assertThat(other.differing(one.buckets())).contains(update(7, 2, 0, 0)).hasSizeLessThan(40);
  }

  @Test
  void forgetsTheDeadButNotTheLiving() {
    MemberTable table =
        MemberTable.empty().with(update(1, 1, 0, 1), 10).with(update(2, 1, 0, 0), 10);
    assertThat(table.forgetBefore(11).entries()).hasSize(1);
    assertThat(table.forgetBefore(10).entries()).hasSize(2);
  }

  @Property(tries = 100, seed = "20261204")
  void sameNewsInAnyOrderGivesTheSameTable(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    Vector<MemberUpdate> news =
        Vector.fill(
            60,
            () ->
                update(random.nextInt(8), random.nextInt(3), random.nextInt(3), random.nextInt(3)));
    MemberTable one = news.foldLeft(MemberTable.empty(), MemberTableTest::learn);
    MemberTable other =
        shuffled(news, random).foldLeft(MemberTable.empty(), MemberTableTest::learn);
    assertThat(other.buckets()).isEqualTo(one.buckets());
    assertThat(other.entries()).isEqualTo(one.entries());
    assertThat(other.ring().nodes()).isEqualTo(one.ring().nodes());
  }
}
