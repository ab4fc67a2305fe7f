package org.clementinepost.node.edge;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.routing.RoutingMessage;

/** Reports the end of an attempt to the routing service exactly once. */
final class AttemptReporter {
  private static final ResponseHead NO_RESPONSE =
      new ResponseHead(0, Vector.empty(), new BackendServerId(""), 0);

  private final Address<RoutingMessage> routing;
  private final Endpoint endpoint;
  private final RequestHead request;
  private final MonotonicClock clock;
  private final long startedNanos;
  private final AtomicBoolean reported = new AtomicBoolean();

  AttemptReporter(
      Address<RoutingMessage> routing,
      Endpoint endpoint,
      RequestHead request,
      MonotonicClock clock) {
    this.routing = routing;
    this.endpoint = endpoint;
    this.request = request;
    this.clock = clock;
    this.startedNanos = clock.nowNanos();
  }

  /** Returns the result, with a body that reports the end of the attempt when the body ends. */
  Either<Failure, BackendResponse> observe(Either<Failure, BackendResponse> result) {
    if (result.isLeft()) {
      report(Option.some(result.getLeft()), NO_RESPONSE);
      return result;
    }
    return Either.right(observe(result.get()));
  }

  private BackendResponse observe(BackendResponse response) {
    ResponseHead head = response.head();
    return new BackendResponse(
        head,
        response
            .body()
            .doOnComplete(() -> report(Option.none(), head))
            .doOnError(
                error -> report(Option.some(Failure.of(ResultCode.BACKEND_ANSWER_LOST)), head))
            .doOnCancel(() -> report(Option.none(), head)));
  }

  /** Reports an end without a failure: a caller that disconnects says nothing about the server. */
  void onCancelled() {
    report(Option.none(), NO_RESPONSE);
  }

  private void report(Option<Failure> failure, ResponseHead head) {
    if (reported.compareAndSet(false, true)) {
      long totalMicros = TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startedNanos);
      routing.send(new RoutingMessage.AttemptEnded(endpoint, request, failure, head, totalMicros));
    }
  }
}
