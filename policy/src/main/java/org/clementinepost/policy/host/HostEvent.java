package org.clementinepost.policy.host;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.LoadReport;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Reply;

/** An event that {@link HostPolicy} decides on. */
public sealed interface HostEvent {
  /** A backend server has announced itself. */
  record Announced(Announcement announcement, long nowNanos) implements HostEvent {}

  /** The departures before a restart of the node have been read. */
  record DeparturesRestored(Departures departures) implements HostEvent {}

  /** The startup health check found a backend server that accepts requests. */
  record Discovered(Announcement announcement, long nowNanos) implements HostEvent {}

  /**
   * Asks for the admission of a request to a backend server.
   *
   * @param randomBits spread the time to come back if the request is refused
   */
  record Admit(
      BackendServerId server,
      RequestHead head,
      long nowNanos,
      long randomBits,
      Reply<Either<Failure, Admission>> reply)
      implements HostEvent {
    /** Creates an event whose refusal is not spread. */
    public Admit(
        BackendServerId server,
        RequestHead head,
        long nowNanos,
        Reply<Either<Failure, Admission>> reply) {
      this(server, head, nowNanos, 0, reply);
    }
  }

  /**
   * An admitted request has ended.
   *
   * @param admissionId the id of its admission
   * @param failure why no complete response arrived; none if one arrived
   * @param status the HTTP status of the response; zero without one
   * @param serverMicros the time that the backend server took
   * @param nowNanos the time of the end
   */
  record RequestEnded(
      long admissionId, Option<Failure> failure, int status, long serverMicros, long nowNanos)
      implements HostEvent {
    /** Returns the time at which the request was sent to the backend server. */
    long sentNanos() {
      return nowNanos - TimeUnit.MICROSECONDS.toNanos(serverMicros);
    }
  }

  /**
   * The node is stopping.
   *
   * @param listener receives the number of requests in flight, now and after each change
   */
  record Stop(IntConsumer listener, long nowNanos) implements HostEvent {}

  /** A call that a backend server of this VM made to another service during a request failed. */
  record OutgoingCallFailed(long nowNanos) implements HostEvent {}

  /** Asks for the load of a backend server of this host, for one kind of request. */
  record ReportLoad(LoadPeerMessage.Query query, long nowNanos, Reply<LoadReport> reply)
      implements HostEvent {}

  /** The periodic timer, or one requested by {@link HostEffect.ScheduleTick}, has fired. */
  record Tick(long nowNanos) implements HostEvent {}

  /** A new configuration has taken effect. */
  record Configured(Snapshot snapshot) implements HostEvent {}
}
