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

/** Reports to the host service, exactly once, how an admitted request ended. */
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

  /** Returns the response with a body that reports the end of the request when it terminates. */
  BackendResponse observe(BackendResponse response) {
    long serverMicros = elapsedMicros();
    int status = response.head().status();
    AtomicLong outstandingChunks = new AtomicLong();
    return new BackendResponse(
        new ResponseHead(status, response.head().headers(), response.head().server(), serverMicros),
        response
            .body()
            .doOnNext(chunk -> outstandingChunks.decrementAndGet())
            .doOnRequest(chunks -> outstandingChunks.accumulateAndGet(chunks, Operators::addCap))
            .doOnComplete(() -> report(Option.none(), status, serverMicros))
            .doOnError(
                error ->
                    report(
                        attributableFailure(
                            BodyFailedException.failureOf(error), outstandingChunks.get()),
                        status,
                        serverMicros))
            .doOnCancel(() -> report(Option.none(), status, serverMicros)));
  }

  /**
   * Returns the failure unless the reader of the body caused it: a timeout while no requested chunk
   * was outstanding says nothing about the backend server.
   */
  private static Option<Failure> attributableFailure(Failure failure, long outstandingChunks) {
    return failure.code() == ResultCode.BACKEND_TIMED_OUT && outstandingChunks <= 0
        ? Option.none()
        : Option.some(failure);
  }

  /** Reports a failure; one that the caller has caused says nothing about the backend server. */
  void reportFailure(Failure failure) {
    boolean ofCaller = failure.code() == ResultCode.REQUEST_BROKEN_OFF;
    report(Option.when(!ofCaller, failure), 0, elapsedMicros());
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
