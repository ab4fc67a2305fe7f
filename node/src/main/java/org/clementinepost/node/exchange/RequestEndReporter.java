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
final class RequestEndReporter {
  private final Address<HostMessage> host;
  private final Admission admission;
  private final MonotonicClock clock;
  private final long startNanos;
  private final AtomicBoolean reported = new AtomicBoolean();

  RequestEndReporter(Address<HostMessage> host, Admission admission, MonotonicClock clock) {
    this.host = host;
    this.admission = admission;
    this.clock = clock;
    this.startNanos = clock.nowNanos();
  }

  BackendResponse observe(BackendResponse answer) {
    long serverMicros = elapsedMicros();
    int status = answer.head().status();
    AtomicLong owedChunks = new AtomicLong();
    return new BackendResponse(
        new ResponseHead(status, answer.head().headers(), answer.head().server(), serverMicros),
        answer
            .body()
            .doOnNext(chunk -> owedChunks.decrementAndGet())
            .doOnRequest(chunks -> owedChunks.accumulateAndGet(chunks, Operators::addCap))
            .doOnComplete(() -> report(Option.none(), status, serverMicros))
            .doOnError(
                error ->
                    report(
                        attributableFailure(BodyFailedException.failureOf(error), owedChunks.get()),
                        status,
                        serverMicros))
            .doOnCancel(() -> report(Option.none(), status, serverMicros)));
  }

  /** A body that its reader was too slow for says nothing of the backend server. */
  private static Option<Failure> attributableFailure(Failure failure, long owedChunks) {
    return failure.code() == ResultCode.BACKEND_TIMED_OUT && owedChunks <= 0
        ? Option.none()
        : Option.some(failure);
  }

  void reportFailure(Failure failure) {
    report(Option.some(failure), 0, elapsedMicros());
  }

  private void report(Option<Failure> failure, int status, long serverMicros) {
    if (reported.compareAndSet(false, true)) {
      host.send(new HostMessage.RequestEnded(admission.id(), failure, status, serverMicros));
    }
  }

  private long elapsedMicros() {
    return TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startNanos);
  }
}
