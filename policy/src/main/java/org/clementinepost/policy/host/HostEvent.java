package org.clementinepost.policy.host;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;

/** What the host's decision is told. */
public sealed interface HostEvent {
  /** A backend server has announced itself. */
  record Announced(Announcement announcement, long nowNanos) implements HostEvent {}

  /** A backend server that has not announced itself was found to take work. */
  record Discovered(Announcement announcement, long nowNanos) implements HostEvent {}

  /** A request asks to be sent to a backend server. */
  record Admit(
      BackendServerId server,
      RequestHead head,
      long nowNanos,
      Reply<Either<Failure, Admission>> reply)
      implements HostEvent {}

  /**
   * An admitted request has ended.
   *
   * @param admissionId its number
   * @param failure why no whole answer came; none when one came
   * @param status the HTTP status of the answer, zero without one
   * @param serverMicros the time that the backend server took
   * @param nowNanos the time of the end
   */
  record RequestEnded(
      long admissionId, Option<Failure> failure, int status, long serverMicros, long nowNanos)
      implements HostEvent {
    /** When the request was sent to the backend server. */
    long sentNanos() {
      return nowNanos - TimeUnit.MICROSECONDS.toNanos(serverMicros);
    }
  }

  /**
   * The node is stopping.
   *
   * @param listener is told how many admissions have not ended, now and at each change
   */
  record Stop(IntConsumer listener, long nowNanos) implements HostEvent {}

  /** A call that a backend server of this VM made while it ran a request has failed. */
  record OutgoingCallFailed(long nowNanos) implements HostEvent {}

  /** Time has passed. */
  record Tick(long nowNanos) implements HostEvent {}

  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements HostEvent {}
}
