package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Reply;

/** What the host's decision asks for. */
public sealed interface HostEffect {
  /** Answers the one who asked to send a request. */
  record AdmissionDecided(
      BackendServerId server,
      RequestHead head,
      Either<Failure, Admission> result,
      Reply<Either<Failure, Admission>> reply)
      implements HostEffect {}

  /** The backend servers that take work have changed. */
  record Publish(Vector<Announcement> serving) implements HostEffect {}

  /**
   * A backend server is held back, or no more.
   *
   * @param server the backend server
   * @param suspected whether it is held back from now on
   * @param cause the end of a request that decided it
   */
  record SuspicionChanged(BackendServerId server, boolean suspected, HostEvent.RequestEnded cause)
      implements HostEffect {}

  /** Requests wait, and time is to be told soon. */
  record ScheduleTick(long delayMillis) implements HostEffect {}

  /** A stopping host has so many admissions that have not ended. */
  record ReportInFlight(IntConsumer listener, int inFlight) implements HostEffect {}
}
