package org.clementinepost.node.host;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.LoadReport;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.host.Admission;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.policy.host.Departures;

/** A message to {@link HostService}. */
public sealed interface HostMessage {
  /** A backend server has announced itself. */
  record Announced(Announcement announcement) implements HostMessage {}

  /** The departures before a restart of the node have been read. */
  record DeparturesRestored(Departures departures) implements HostMessage {}

  /** The startup health check found a backend server that accepts requests. */
  record Discovered(Announcement announcement) implements HostMessage {}

  /** Asks for the admission of a request to a backend server. */
  record Admit(BackendServerId server, RequestHead head, Reply<Either<Failure, Admission>> reply)
      implements HostMessage {}

  /** An admitted request has ended. */
  record RequestEnded(long admissionId, Option<Failure> failure, int status, long serverMicros)
      implements HostMessage {}

  /** The node is stopping; reports the requests in flight, now and after each change. */
  record Stop(IntConsumer listener) implements HostMessage {}

  /**
   * A call to another service, which a backend server of this VM made while serving a request, has
   * failed.
   */
  record OutgoingCallFailed() implements HostMessage {}

  /** Asks for the load of a backend server of this host. */
  record ReportLoad(LoadPeerMessage.Query query, Reply<LoadReport> reply) implements HostMessage {}

  /** A timer has fired. */
  record Tick() implements HostMessage {}

  /** A new configuration has taken effect. */
  record Configured(Snapshot snapshot) implements HostMessage {}
}
