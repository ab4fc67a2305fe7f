package org.clementinepost.node.access;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.configuration.Confirmation;
import org.clementinepost.policy.access.IncomingRequest;

/** What the access service is told. */
public sealed interface AccessMessage {
  /** A request has arrived. */
  record Authorize(IncomingRequest request, Reply<Either<Failure, RequestHead>> reply)
      implements AccessMessage {}

  /** The configuration in force has been confirmed to be the newest. */
  record Confirmed(Confirmation confirmation) implements AccessMessage {}

  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements AccessMessage {}
}
