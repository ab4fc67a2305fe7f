package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;

/** A message to the task of a backend server stand-in. */
sealed interface BackendMessage {
  /**
   * A request has arrived.
   *
   * @param requestId the request id that the caller sent; empty if there is none
   * @param hasAuthorization whether the request has an {@code Authorization} header
   * @param timeoutMillis the time until its deadline; 0 if there is none
   * @param requestedLatencyMillis the latency that the request asks for, if any
   */
  record RequestStarted(
      String requestId,
      boolean hasAuthorization,
      long timeoutMillis,
      Option<Long> requestedLatencyMillis,
      Reply<Either<Failure, Admission>> reply)
      implements BackendMessage {}

  /** A request that occupied a slot has ended. */
  record RequestEnded(boolean cancelled) implements BackendMessage {}

  /** The number of open connections has changed. */
  record ConnectionCountChanged(int delta) implements BackendMessage {}

  /** Changes how the server behaves. */
  record SetHealth(HealthControl health, Reply<Either<Failure, HealthControl>> reply)
      implements BackendMessage {}

  /** Returns the statistics of the requests received. */
  record GetStatistics(Reply<Either<Failure, RequestStatistics>> reply) implements BackendMessage {}

  /** The timer for the next announcement has fired. */
  record AnnouncementDue() implements BackendMessage {}

  /** Announces that the server is draining, and replies when the node has been informed. */
  record Drain(Reply<Either<Failure, Lifecycle>> reply) implements BackendMessage {}

  /** Announces that the server is gone once no request is running, and replies after that. */
  record StopWhenIdle(Reply<Either<Failure, Lifecycle>> reply) implements BackendMessage {}
}
