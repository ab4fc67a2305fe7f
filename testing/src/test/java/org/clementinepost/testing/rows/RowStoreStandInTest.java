package org.clementinepost.testing.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.platform.StoreClient;
import org.clementinepost.storage.rows.Row;
import org.clementinepost.storage.rows.RowPage;
import org.clementinepost.storage.rows.RowWrite;
import org.clementinepost.testing.rows.RowStoreStandIn.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** The client and the stand-in of the store, against each other. */
final class RowStoreStandInTest {
  private static final String TABLE = "nodes";
  private static final Duration PATIENCE = Duration.ofSeconds(10);

  private final RowStoreStandIn stored = RowStoreStandIn.start();
  private final StoreClient client = new StoreClient(stored.address());

  @AfterEach
  void close() {
    client.dispose();
    stored.close();
  }

  private static <T> Either<Failure, T> of(Mono<Either<Failure, T>> answer) {
    return answer.block(PATIENCE);
  }

  private Either<Failure, Long> write(String key, Option<String> value, long expected) {
    return of(client.write(TABLE, new RowWrite(key, value, expected)));
  }

  private Vector<Row> rows() {
    return of(client.read(TABLE)).get().rows();
  }

  @Test
  void aWrittenRowIsReadBack() {
    long version = write("a", Option.some("one"), 0).get();
    assertThat(rows()).containsExactly(new Row("a", Option.some("one"), version));
  }

  @Test
  void aWriteThatExpectsAnotherVersionIsRefused() {
    write("a", Option.some("one"), 0);
    assertThat(write("a", Option.some("two"), 0).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
    assertThat(stored.value(TABLE, "a")).contains("one");
  }

  @Test
  void aRemovedRowIsToldAsSuch() {
    long version = write("a", Option.some("one"), 0).get();
    write("a", Option.none(), version);
    Row told = of(client.changesSince(TABLE, version, 100)).get().rows().single();
    assertThat(told.value().isEmpty()).isTrue();
  }

  @Test
  void aChangeEndsAWait() {
    Mono<Either<Failure, RowPage>> waiting = client.changesSince(TABLE, 0, 5_000).cache();
    waiting.subscribe();
    stored.put(TABLE, "b", "two");
    assertThat(of(waiting).get().rows().single().value()).contains("two");
  }

  @Test
  void aWaitWithoutChangeEndsEmpty() {
    assertThat(of(client.changesSince(TABLE, 0, 50)).get().rows()).isEmpty();
  }

  @Test
  void aForgottenHistoryIsToldByNumber() {
    stored.put(TABLE, "a", "one");
    stored.forgetHistory();
    assertThat(of(client.changesSince(TABLE, 0, 50)).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_HISTORY_LOST);
  }

  @Test
  void eachFaultIsToldByNumber() {
    assertThat(codeUnder(Fault.BUSY)).isEqualTo(ResultCode.PLATFORM_THROTTLED);
    assertThat(codeUnder(Fault.THROTTLED)).isEqualTo(ResultCode.PLATFORM_THROTTLED);
    assertThat(codeUnder(Fault.RESET)).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(codeUnder(Fault.SILENT)).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
  }

  private ResultCode codeUnder(Fault fault) {
    stored.meet(fault);
    return of(client.read(TABLE)).getLeft().code();
  }

  @Test
  void aWriteWhoseAnswerIsLostHasTakenEffect() {
    stored.meet(Fault.LOST_ANSWER);
    assertThat(write("a", Option.some("one"), 0).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    stored.meet(Fault.NONE);
    assertThat(rows().single().value()).contains("one");
  }

  @Test
  void aLateWriteTakesEffectOnlyIfItsConditionStillHolds() {
    stored.meet(Fault.LATE_EFFECT);
    write("a", Option.some("late"), 0);
    stored.meet(Fault.NONE);
    write("a", Option.some("one"), 0);
    stored.carryOutLateCalls();
    assertThat(rows().single().value()).contains("one");
  }
}
