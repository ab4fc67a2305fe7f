package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;

/** What the task of a backend server is told. */
sealed interface BackendMessage {
  /**
   * A request has come.
   *
   * @param requestId the caller's request; empty when it carries none
   * @param hasAuthorization whether it carries a header field Authorization
   * @param timeoutMillis the time until its deadline; zero for none
   * @param requestedLatencyMillis how long this request asks to take; none for the usual time
   */
  record RequestStarted(
      String requestId,
      boolean hasAuthorization,
      long timeoutMillis,
      Option<Long> requestedLatencyMillis,
      Reply<Either<Failure, Admission>> reply)
      implements BackendMessage {}

  /** A request that took a slot has ended. */
  record RequestEnded(boolean cancelled) implements BackendMessage {}

  /** The number of open connections has changed. */
  record ConnectionCountChanged(int delta) implements BackendMessage {}

  /** An order on how to behave. */
  record SetHealth(HealthControl health, Reply<Either<Failure, HealthControl>> reply)
      implements BackendMessage {}

  /** Asks what has been received. */
  record GetStatistics(Reply<Either<Failure, RequestStatistics>> reply) implements BackendMessage {}

  /** It is time to announce. */
  record AnnouncementDue() implements BackendMessage {}

  /** Announces to drain, and answers when the node has been told. */
  record Drain(Reply<Either<Failure, Lifecycle>> reply) implements BackendMessage {}

  /** Goes when no request runs any more, and answers when the node has been told. */
  record StopWhenIdle(Reply<Either<Failure, Lifecycle>> reply) implements BackendMessage {}
}
