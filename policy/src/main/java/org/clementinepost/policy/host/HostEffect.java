package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.LoadReport;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;

/** An action that {@link HostPolicy} asks the host service to carry out. */
public sealed interface HostEffect {
  /**
   * Replies to an admission request with an admission or the reason for the refusal.
   *
   * @param waitedNanos how long the request waited; zero if it did not wait
   * @param toSuspected whether the request was admitted to a server that the host suspects
   * @param group the group in which it waited; none for a request without a place in a queue, or in
   *     a queue without groups
   * @param queueRefusal why the queue refused the request; none if it did not
   */
  record AdmissionDecided(
      BackendServerId server,
      RequestHead head,
      Either<Failure, Admission> result,
      long waitedNanos,
      boolean toSuspected,
      Option<QueueGroup> group,
      Option<QueueRefusal> queueRefusal,
      Reply<Either<Failure, Admission>> reply)
      implements HostEffect {}

  /** Publishes the backend servers that accept requests, after a change. */
  record Publish(Vector<Announcement> serving) implements HostEffect {}

  /**
   * Logs that a backend server became suspected or was cleared.
   *
   * @param server the backend server
   * @param suspected whether it is suspected now
   * @param cause the request whose end changed the state
   */
  record SuspicionChanged(BackendServerId server, boolean suspected, HostEvent.RequestEnded cause)
      implements HostEffect {}

  /**
   * Logs and counts that a request has given its slot back.
   *
   * @param request the request
   * @param heldNanos how long it held the slot
   * @param end its end
   */
  record SlotReleased(AdmittedRequest request, long heldNanos, HostEvent.RequestEnded end)
      implements HostEffect {}

  /**
   * Logs and counts that a slot was taken back, since the end of its request was never reported.
   *
   * @param heldNanos how long the request held the slot
   */
  record SlotExpired(AdmittedRequest request, long heldNanos) implements HostEffect {}

  /** Replies to a load query. */
  record LoadReported(LoadReport report, Reply<LoadReport> reply) implements HostEffect {}

  /** Reports the number of waiting requests after a change. */
  record WaitingChanged(int waiting) implements HostEffect {}

  /** Schedules a {@link HostEvent.Tick}, since requests are waiting. */
  record ScheduleTick(long delayMillis) implements HostEffect {}

  /** Reports the number of requests in flight on a stopping host. */
  record ReportInFlight(IntConsumer listener, int inFlight) implements HostEffect {}
}
