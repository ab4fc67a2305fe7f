package org.clementinepost.node.exchange;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.policy.host.Admission;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Operators;

/**
 * Reports to the host service, exactly once, how an admitted request ended.
 *
 * <p>The report frees the slot of the request. A response that is whole in memory is reported at
 * once, so that its way to the caller takes nothing from the backend server. Its memory counts
 * against a budget; when that is spent, the slot is held until the response has been read, which
 * bounds the responses in memory.
 */
final class RequestEndReporter {
  private final Address<HostMessage> host;
  private final Admission admission;
  private final MonotonicClock clock;
  private final BufferBudget budget;
  private final long startNanos;
  private final AtomicLong reservedBytes = new AtomicLong();
  private final AtomicBoolean reported = new AtomicBoolean();

  RequestEndReporter(
      Address<HostMessage> host, Admission admission, MonotonicClock clock, BufferBudget budget) {
    this.host = host;
    this.admission = admission;
    this.clock = clock;
    this.budget = budget;
    this.startNanos = clock.nowNanos();
  }

  /** Returns the response, whose end is reported now or when its body terminates. */
  BackendResponse observe(ReceivedResponse received) {
    BackendResponse response = received.response();
    long serverMicros = elapsedMicros();
    int status = response.head().status();
    ResponseHead head =
        new ResponseHead(status, response.head().headers(), response.head().server(), serverMicros);
    for (long bytes : received.wholeBytes().map(RequestEndReporter::unbudgetedBytes)) {
      if (budget.tryReserve(bytes)) {
        report(Option.none(), status, serverMicros);
        reservedBytes.set(bytes);
        return new BackendResponse(head, response.body().doFinally(signal -> releaseMemory()));
      }
    }
    return new BackendResponse(head, reportEnd(response.body(), status, serverMicros));
  }

  /** A whole body can be read repeatedly; its memory is released once. */
  private void releaseMemory() {
    budget.release(reservedBytes.getAndSet(0));
  }

  /** The bytes of a buffered body for which its buffer has reserved nothing. */
  private static long unbudgetedBytes(long bodyBytes) {
    return Math.min(bodyBytes, BodyBuffer.UNBUDGETED_BYTES);
  }

  private Flux<Chunk> reportEnd(Flux<Chunk> body, int status, long serverMicros) {
    AtomicLong outstandingChunks = new AtomicLong();
    return body.doOnNext(chunk -> outstandingChunks.decrementAndGet())
        .doOnRequest(chunks -> outstandingChunks.accumulateAndGet(chunks, Operators::addCap))
        .doOnComplete(() -> report(Option.none(), status, serverMicros))
        .doOnError(
            error ->
                report(
                    attributableFailure(
                        BodyFailedException.failureOf(error), outstandingChunks.get()),
                    status,
                    serverMicros))
        .doOnCancel(() -> report(Option.none(), status, serverMicros));
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
