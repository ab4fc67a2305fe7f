package org.clementinepost.node.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinepost.api.Chunk;
import org.clementinepost.node.exchange.BodyBuffer.BufferedBody;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import reactor.core.Disposable;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;

/** Checks that buffering gives way when the budget is spent, and that no reservation is kept. */
final class BodyBufferTest {
  private static final int CHUNK_BYTES = 16 << 10;
  private static final int CHUNKS = 32;
  private static final int BODY_BYTES = CHUNKS * CHUNK_BYTES;
  private static final int MAX_BUFFERED_BYTES = 1 << 20;
  private static final Flux<Chunk> BODY =
      Flux.range(0, CHUNKS).map(i -> Chunk.wrap(new byte[CHUNK_BYTES]));

  private final BufferBudget budget = new BufferBudget(BODY_BYTES);

  private BufferedBody read(Flux<Chunk> body) {
    return BodyBuffer.read(body, MAX_BUFFERED_BYTES, Long.MAX_VALUE, budget).block();
  }

  private static int length(BufferedBody body) {
    return body.body().reduce(0, (bytes, chunk) -> bytes + chunk.length()).block();
  }

  @Test
  void bodyWithinBudgetIsBufferedAndReleasedAfterItsReading() {
    BufferedBody body = read(BODY);
    assertThat(body.complete()).isTrue();
    assertThat(budget.reservedBytes()).isPositive();
    assertThat(length(body)).isEqualTo(BODY_BYTES);
    assertThat(budget.reservedBytes()).isZero();
  }

  /** Guards against bodies that together exhaust the memory of the process. */
  @Test
  void bodyIsStreamedWholeWhenBudgetIsSpent() {
    budget.tryReserve(BODY_BYTES);
    BufferedBody body = read(BODY);
    assertThat(body.complete()).isFalse();
    assertThat(length(body)).isEqualTo(BODY_BYTES);
    assertThat(budget.reservedBytes()).isEqualTo(BODY_BYTES);
  }

  @Test
  void discardedBodyIsReleased() {
    read(BODY).body().subscribe().dispose();
    read(Flux.concat(BODY, BODY, BODY, Flux.never())).body().subscribe().dispose();
    assertThat(budget.reservedBytes()).isZero();
  }

  @Test
  void cancelledAndFailedBodiesAreReleased() {
    Disposable reading =
        BodyBuffer.read(BODY.concatWith(Flux.never()), MAX_BUFFERED_BYTES, Long.MAX_VALUE, budget)
            .subscribe();
    assertThat(budget.reservedBytes()).isPositive();
    reading.dispose();
    assertThat(budget.reservedBytes()).isZero();

    Flux<Chunk> failing = BODY.concatWith(Flux.error(new IllegalStateException("on purpose")));
    BodyBuffer.read(failing, MAX_BUFFERED_BYTES, Long.MAX_VALUE, budget).onErrorComplete().block();
    assertThat(budget.reservedBytes()).isZero();
  }

  /** Guards against slots that are kept since the end of a body goes without its signal. */
  @Test
  void bodyCompletesWhenItsReaderDemandsJustItsChunks() {
    int chunks = BodyBuffer.UNBUDGETED_BYTES / CHUNK_BYTES;
    AtomicInteger completions = new AtomicInteger();
    BaseSubscriber<Chunk> reader =
        new BaseSubscriber<>() {
          @Override
          protected void hookOnSubscribe(Subscription subscription) {
            subscription.request(chunks);
          }
        };
    read(BODY.take(chunks))
        .body()
        .doOnComplete(completions::incrementAndGet)
        .concatMapIterable(List::of, 1)
        .subscribe(reader);
    assertThat(completions).hasValue(1);
  }
}
