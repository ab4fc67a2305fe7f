package org.clementinepost.node.host;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.host.Admission;
import org.clementinepost.policy.host.Announcement;

/** What the host service is told. */
public sealed interface HostMessage {
  /** A backend server has announced itself. */
  record Announced(Announcement announcement) implements HostMessage {}

  /** A backend server that has not announced itself was found to take work. */
  record Discovered(Announcement announcement) implements HostMessage {}

  /** A request asks to be sent to a backend server. */
  record Admit(BackendServerId server, RequestHead head, Reply<Either<Failure, Admission>> reply)
      implements HostMessage {}

  /** An admitted request has ended. */
  record RequestEnded(long admissionId, Option<Failure> failure, int status, long serverMicros)
      implements HostMessage {}

  /** The node is stopping; tells how many requests are in hand, now and at each change. */
  record Stop(IntConsumer listener) implements HostMessage {}

  /** A call that a backend server of this VM made while it ran a request has failed. */
  record OutgoingCallFailed() implements HostMessage {}

  /** Time has passed. */
  record Tick() implements HostMessage {}

  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements HostMessage {}
}
