package org.clementinepost.testing.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.storage.HttpPlatform;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemCondition;
import org.clementinepost.storage.ItemKey;
import org.clementinepost.storage.ItemWrite;
import org.clementinepost.storage.ObjectStore;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.PlatformService;
import org.clementinepost.storage.PlatformSettings;
import org.clementinepost.storage.TableService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Tests the HTTP clients of the platform and the stand-in against each other. */
final class PlatformStandInTest {
  private static final int MAX_PAGE_ITEMS = 2;
  private static final long LONG_TIMEOUT_MILLIS = 20_000;
  private static final long SHORT_TIMEOUT_MILLIS = 100;
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);
  private static final ItemKey HEAD = new ItemKey("config", "head");

  private final PlatformStandIn standIn = PlatformStandIn.startWithMaxPageItems(MAX_PAGE_ITEMS);
  private final PlatformSettings settings = settings(LONG_TIMEOUT_MILLIS);
  private final HttpPlatform client = HttpPlatform.of(settings);
  private final HttpPlatform shortTimeoutClient = HttpPlatform.of(settings(SHORT_TIMEOUT_MILLIS));
  private final TableService table = client.platform().table();
  private final ObjectStore objects = client.platform().objects();

  private PlatformSettings settings(long timeoutMillis) {
    return PlatformSettings.builder()
        .url(standIn.url())
        .requestTimeoutMillis(timeoutMillis)
        .build();
  }

  @AfterEach
  void stop() {
    client.dispose();
    shortTimeoutClient.dispose();
    standIn.close();
  }

  private static <T> T await(Mono<T> mono) {
    return mono.block(MAX_WAIT);
  }

  private static ResultCode failureCode(Mono<? extends Either<Failure, ?>> failed) {
    return await(failed).getLeft().code();
  }

  private static ItemWrite put(ItemKey key, ItemCondition condition, long version) {
    return new ItemWrite(key, condition, Option.some(new Item(key, version, "{\"é\":1}")));
  }

  private Mono<Either<Failure, Vector<ItemWrite>>> write(ItemCondition condition, long version) {
    return table.write(Vector.of(put(HEAD, condition, version)));
  }

  private void inject(Fault fault) {
    assertThat(await(standIn.inject(fault)).isRight()).isTrue();
  }

  @Test
  void returnsWrittenItem() {
    assertThat(await(table.get(HEAD)).get()).isEqualTo(Option.none());
    assertThat(await(write(new ItemCondition.Absent(), 1)).get()).hasSize(1);
    assertThat(await(table.get(HEAD)).get().get()).isEqualTo(new Item(HEAD, 1, "{\"é\":1}"));
  }

  @Test
  void rejectsWriteWhoseConditionFails() {
    await(write(new ItemCondition.Absent(), 1));

    assertThat(failureCode(write(new ItemCondition.Absent(), 1)))
        .isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
    assertThat(failureCode(write(new ItemCondition.AtVersion(4), 5)))
        .isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
    assertThat(await(write(new ItemCondition.AtVersion(1), 2)).isRight()).isTrue();
  }

  @Test
  void rejectsTransactionThatIsTooLarge() {
    Vector<ItemWrite> writes =
        Vector.range(0, 101)
            .map(i -> put(new ItemKey("p", "s" + i), new ItemCondition.Always(), 1));

    assertThat(failureCode(table.write(writes))).isEqualTo(ResultCode.PLATFORM_PROTOCOL);
  }

  @Test
  void readsAllPagesOfQuery() {
    Vector<ItemWrite> writes =
        Vector.range(0, 7).map(i -> put(new ItemKey("p", "s" + i), new ItemCondition.Always(), 1));
    await(table.write(writes));

    assertThat(await(table.query("p", Option.some("s0"), 5)).get().map(item -> item.key().sort()))
        .containsExactly("s1", "s2", "s3", "s4", "s5");
    assertThat(await(table.query("p", Option.none(), 100)).get()).hasSize(7);
  }

  @Test
  void storesObjects() {
    byte[] content = new byte[300_000];
    assertThat(await(objects.get("snapshots/1 a")).get()).isEqualTo(Option.none());
    assertThat(await(objects.put("snapshots/1 a", content)).get()).isEqualTo("snapshots/1 a");
    assertThat(await(objects.get("snapshots/1 a")).get().get()).isEqualTo(content);
    assertThat(await(objects.put("snapshots/1 a", content)).isRight()).isTrue();
    assertThat(failureCode(objects.put("snapshots/1 a", new byte[1])))
        .isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
  }

  @Test
  void reportsUnavailableAndKeepsWriteWhenReplyIsLost() {
    inject(Fault.forNextRequests(FaultMode.LOSE_REPLIES, 1, OperationKind.TABLE_WRITE));

    assertThat(failureCode(write(new ItemCondition.Absent(), 1)))
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(await(table.get(HEAD)).get().get().version()).isEqualTo(1);
  }

  @Test
  void reportsUnavailableAndWritesNothingOnRefusalOrHang() {
    inject(Fault.forNextRequests(FaultMode.REFUSE, 1));
    assertThat(failureCode(write(new ItemCondition.Absent(), 1)))
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    inject(Fault.of(FaultMode.HANG));
    Vector<ItemWrite> writes = Vector.of(put(HEAD, new ItemCondition.Absent(), 1));
    assertThat(failureCode(shortTimeoutClient.platform().table().write(writes)))
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    inject(Fault.of(FaultMode.NONE));
    assertThat(await(table.get(HEAD)).get()).isEqualTo(Option.none());
  }

  @Test
  void reportsThrottlingWithItsOwnCode() {
    inject(Fault.forNextRequests(FaultMode.THROTTLE, 2));

    assertThat(failureCode(write(new ItemCondition.Absent(), 1)))
        .isEqualTo(ResultCode.PLATFORM_THROTTLED);
    assertThat(failureCode(objects.get("a"))).isEqualTo(ResultCode.PLATFORM_THROTTLED);
    assertThat(await(objects.get("a")).isRight()).isTrue();
  }

  @Test
  void reportsUnavailableWhenSlowerThanTimeout() {
    inject(new Fault(FaultMode.SLOW, LONG_TIMEOUT_MILLIS, 0, List.of()));
    assertThat(failureCode(shortTimeoutClient.platform().table().get(HEAD)))
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    inject(new Fault(FaultMode.SLOW, 1, 0, List.of()));
    assertThat(await(table.get(HEAD)).isRight()).isTrue();
  }

  @Test
  void reportsUnavailableWhenPlatformIsStopped() {
    assertThat(await(table.get(HEAD)).isRight()).isTrue();
    standIn.close();

    assertThat(failureCode(table.get(HEAD))).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(failureCode(objects.get("a"))).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
  }

  @Test
  void isReachableByNameThroughKernel() {
    Kernel kernel =
        Kernel.builder()
            .scheduler(Schedulers.parallel())
            .service(PlatformService.definition(settings))
            .start();
    Platform platform = PlatformService.platformOf(kernel);

    assertThat(await(platform.objects().put("a", new byte[] {1})).get()).isEqualTo("a");
    assertThat(await(platform.objects().get("a")).get().get()).containsExactly(1);
    assertThat(await(platform.table().write(Vector.of(put(HEAD, new ItemCondition.Absent(), 1)))))
        .isNotNull();
    assertThat(await(platform.table().query("config", Option.none(), 9)).get()).hasSize(1);
    kernel.dispose();
    assertThat(failureCode(platform.table().get(HEAD))).isEqualTo(ResultCode.NODE_STOPPING);
  }
}
