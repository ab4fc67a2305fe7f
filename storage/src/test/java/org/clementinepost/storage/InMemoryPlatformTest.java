package org.clementinepost.storage;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.clementinepost.api.ResultCode;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/** Tests the in-memory platform through its two interfaces. */
final class InMemoryPlatformTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);
  private static final ItemKey HEAD = new ItemKey("config", "head");

  private final Platform platform = InMemoryPlatform.create();

  private static Vector<ItemWrite> write(ItemCondition condition, long version) {
    return Vector.of(new ItemWrite(HEAD, condition, Option.some(new Item(HEAD, version, "{}"))));
  }

  @Test
  void storesItemsAndObjects() {
    platform.table().write(write(new ItemCondition.Absent(), 1)).block();
    platform.objects().put("a", new byte[] {1}).block();

    assertThat(platform.table().get(HEAD).block().get().get().version()).isEqualTo(1);
    assertThat(platform.table().query("config", Option.none(), 9).block().get()).hasSize(1);
    assertThat(platform.objects().get("a").block().get().get()).containsExactly(1);
  }

  @Test
  void letsExactlyOneOfConcurrentWritersSucceed() {
    long successfulWrites =
        Flux.range(0, 50)
            .flatMap(
                i ->
                    platform
                        .table()
                        .write(write(new ItemCondition.Absent(), 1))
                        .subscribeOn(Schedulers.parallel()))
            .filter(
                answer ->
                    answer.fold(f -> f.code() != ResultCode.PLATFORM_CONDITION_FAILED, w -> true))
            .count()
            .block(MAX_WAIT);

    assertThat(successfulWrites).isEqualTo(1);
  }
}
