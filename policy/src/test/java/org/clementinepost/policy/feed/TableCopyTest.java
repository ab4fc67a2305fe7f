package org.clementinepost.policy.feed;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.peer.FeedPage;
import org.clementinepost.api.peer.FeedRow;
import org.junit.jupiter.api.Test;

final class TableCopyTest {
  private static final FeedRow NEW = new FeedRow("k", Option.some("new"), 9);
  private static final FeedRow OLD = new FeedRow("k", Option.some("old"), 4);
  private static final TableCopy COPY =
      TableCopy.of(new FeedPage(Vector.of(NEW), 9, 1_000, true), Option.some(50L), Option.none());

  @Test
  void olderPageChangesNothing() {
    assertThat(COPY.with(new FeedPage(Vector.of(OLD), 5, 2_000, false), Option.none()))
        .isEqualTo(COPY);
    assertThat(COPY.with(new FeedPage(Vector.of(OLD), 5, 2_000, true), Option.none()))
        .isEqualTo(COPY);
  }

  @Test
  void olderRowInNewerPageIsIgnored() {
    TableCopy next = COPY.with(new FeedPage(Vector.of(OLD), 10, 2_000, false), Option.none());
    assertThat(next.completePage().rows()).containsExactly(NEW);
  }

  @Test
  void clockNeverGoesBack() {
    TableCopy next = COPY.with(new FeedPage(Vector.empty(), 10, 900, false), Option.none());
    assertThat(next.storeClockMillis()).isEqualTo(1_000);
    assertThat(next.requestNanos()).contains(50L);
    TableCopy complete = COPY.with(new FeedPage(Vector.of(NEW), 10, 900, true), Option.none());
    assertThat(complete.storeClockMillis()).isEqualTo(1_000);
  }

  @Test
  void relayedClockIsNotDatedByOwnRequest() {
    TableCopy next = COPY.with(new FeedPage(Vector.empty(), 10, 1_100, false), Option.none());
    assertThat(next.storeClockMillis()).isEqualTo(1_100);
    assertThat(next.requestNanos()).isEmpty();
  }

  @Test
  void removalIsRelayedToThoseThatKnewTheRow() {
    FeedRow removed = new FeedRow("k", Option.none(), 11);
    TableCopy next = COPY.with(new FeedPage(Vector.of(removed), 11, 1_100, false), Option.none());
    assertThat(next.pageSince(9).rows()).containsExactly(removed);
    assertThat(next.pageSince(9).complete()).isFalse();
  }

  @Test
  void thoseThatMayKnowRowsThatWereMissedGetAllRows() {
    assertThat(COPY.pageSince(8).complete()).isTrue();
    assertThat(COPY.pageSince(9).complete()).isFalse();
  }
}
