package org.clementinepost.node.exchange;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.policy.host.Admission;
import reactor.core.publisher.Operators;

/** Tells the host service once how an admitted request has ended. */
final class ExchangeEnd {
  private final Address<HostMessage> host;
  private final Admission admission;
  private final MonotonicClock clock;
  private final long startedNanos;
  private final AtomicBoolean told = new AtomicBoolean();

  ExchangeEnd(Address<HostMessage> host, Admission admission, MonotonicClock clock) {
    this.host = host;
    this.admission = admission;
    this.clock = clock;
    this.startedNanos = clock.nowNanos();
  }

  Answer watch(Answer answer) {
    long serverMicros = elapsedMicros();
    int status = answer.head().status();
    AtomicLong owedChunks = new AtomicLong();
    return new Answer(
        new ResponseHead(status, answer.head().headers(), answer.head().server(), serverMicros),
        answer
            .body()
            .doOnNext(chunk -> owedChunks.decrementAndGet())
            .doOnRequest(chunks -> owedChunks.accumulateAndGet(chunks, Operators::addCap))
            .doOnComplete(() -> tell(Option.none(), status, serverMicros))
            .doOnError(
                error ->
                    tell(
                        evidence(BodyFailedException.failureOf(error), owedChunks.get()),
                        status,
                        serverMicros))
            .doOnCancel(() -> tell(Option.none(), status, serverMicros)));
  }

  /** A body that its reader was too slow for says nothing of the backend server. */
  private static Option<Failure> evidence(Failure failure, long owedChunks) {
    return failure.code() == ResultCode.BACKEND_TIMED_OUT && owedChunks <= 0
        ? Option.none()
        : Option.some(failure);
  }

  void failed(Failure failure) {
    tell(Option.some(failure), 0, elapsedMicros());
  }

  private void tell(Option<Failure> failure, int status, long serverMicros) {
    if (told.compareAndSet(false, true)) {
      host.send(new HostMessage.RequestEnded(admission.id(), failure, status, serverMicros));
    }
  }

  private long elapsedMicros() {
    return TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startedNanos);
  }
}
