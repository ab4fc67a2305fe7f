package org.clementinepost.storage;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.ResultCode;
import org.junit.jupiter.api.Test;

/** Tests the semantics of writes, independent of any protocol. */
final class PlatformStateTest {
  private static final ItemKey HEAD = new ItemKey("config", "head");
  private static final ItemKey OTHER = new ItemKey("config", "other");

  private static ItemWrite put(ItemKey key, ItemCondition condition, long version) {
    return new ItemWrite(key, condition, Option.some(new Item(key, version, "{}")));
  }

  private static PlatformState stateWith(ItemWrite... writes) {
    return PlatformState.empty().write(Vector.of(writes)).get();
  }

  @Test
  void writesWhenAbsentAndAtVersion() {
    PlatformState state = stateWith(put(HEAD, new ItemCondition.Absent(), 1));
    state = state.write(Vector.of(put(HEAD, new ItemCondition.AtVersion(1), 2))).get();

    assertThat(state.item(HEAD).get().version()).isEqualTo(2);
  }

  @Test
  void writesAllOrNothing() {
    PlatformState state = stateWith(put(HEAD, new ItemCondition.Always(), 1));
    var rejected =
        state.write(
            Vector.of(
                put(OTHER, new ItemCondition.Absent(), 1),
                put(HEAD, new ItemCondition.AtVersion(7), 8)));

    assertThat(rejected.getLeft().code()).isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
    assertThat(state.item(OTHER).isEmpty()).isTrue();
    assertThat(state.item(HEAD).get().version()).isEqualTo(1);
  }

  @Test
  void rejectsVersionConditionOnAbsentItem() {
    var rejected =
        PlatformState.empty().write(Vector.of(put(HEAD, new ItemCondition.AtVersion(0), 1)));

    assertThat(rejected.getLeft().code()).isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
  }

  @Test
  void deletesItemAtExpectedVersion() {
    PlatformState state = stateWith(put(HEAD, new ItemCondition.Always(), 1));
    ItemWrite delete = new ItemWrite(HEAD, new ItemCondition.AtVersion(1), Option.none());

    assertThat(state.write(Vector.of(delete)).get().item(HEAD).isEmpty()).isTrue();
  }

  @Test
  void rejectsTwoWritesOfOneItem() {
    var rejected =
        PlatformState.empty()
            .write(
                Vector.of(
                    put(HEAD, new ItemCondition.Always(), 1),
                    put(HEAD, new ItemCondition.Always(), 2)));

    assertThat(rejected.getLeft().code()).isEqualTo(ResultCode.PLATFORM_PROTOCOL);
  }

  @Test
  void queriesInSortOrderAfterSortKey() {
    PlatformState state =
        stateWith(
            put(OTHER, new ItemCondition.Always(), 1),
            put(HEAD, new ItemCondition.Always(), 1),
            put(new ItemKey("config", "zone"), new ItemCondition.Always(), 1),
            put(new ItemKey("nodes", "n1"), new ItemCondition.Always(), 1));

    assertThat(state.query("config", Option.none(), 2).map(item -> item.key().sort()))
        .containsExactly("head", "other");
    assertThat(state.query("config", Option.some("head"), 9).map(item -> item.key().sort()))
        .containsExactly("other", "zone");
  }

  @Test
  void neverOverwritesObject() {
    PlatformState state = PlatformState.empty().putObject("a", new byte[] {1}).get();

    assertThat(state.putObject("a", new byte[] {1}).get()).isSameAs(state);
    assertThat(state.putObject("a", new byte[] {2}).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
    state.object("a").get()[0] = 9;
    assertThat(state.object("a").get()).containsExactly(1);
  }
}
