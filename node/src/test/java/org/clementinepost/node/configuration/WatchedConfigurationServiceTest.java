package org.clementinepost.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.storage.rows.OperatorChangeFeed;
import org.clementinepost.storage.rows.OperatorChangePage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.test.scheduler.VirtualTimeScheduler;

/** The service over a feed that answers when it is told to. */
final class WatchedConfigurationServiceTest {
  private static final OperatorChangePage EMPTY = new OperatorChangePage(Vector.empty(), 7, 0);
  private static final Failure AWAY = Failure.of(ResultCode.PLATFORM_UNAVAILABLE);

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<Long> waitsMillis = new ArrayList<>();
  private MonoSink<Either<Failure, OperatorChangePage>> asked;

  private final OperatorChangeFeed feed =
      new OperatorChangeFeed() {
        @Override
        public Mono<Either<Failure, OperatorChangePage>> read() {
          return Mono.create(sink -> asked = sink);
        }

        @Override
        public Mono<Either<Failure, OperatorChangePage>> changesSince(
            long version, long waitMillis) {
          waitsMillis.add(waitMillis);
          return Mono.create(sink -> asked = sink);
        }
      };

  @BeforeEach
  void start() {
    Kernel.builder()
        .scheduler(scheduler)
        .clock(MonotonicClock.of(scheduler))
        .service(WatchedConfigurationService.definition(feed))
        .start();
    pass();
    answer(Either.right(EMPTY));
  }

  private void pass() {
    scheduler.advanceTimeBy(Duration.ofSeconds(1));
  }

  private void answer(Either<Failure, OperatorChangePage> page) {
    asked.success(page);
    pass();
  }

  @Test
  void aStoreInContactIsAskedToWaitForChanges() {
    assertThat(waitsMillis).hasSize(1).allMatch(waitMillis -> waitMillis > 0);
  }

  @Test
  void aLostStoreIsAskedWithoutWaitingUntilItAnswers() {
    answer(Either.left(AWAY));
    answer(Either.left(AWAY));
    assertThat(waitsMillis.subList(1, 3)).containsOnly(0L);

    answer(Either.right(EMPTY));

    assertThat(waitsMillis).hasSize(4);
    assertThat(waitsMillis.get(3)).isPositive();
  }
}
