package org.clementinepost.node.access;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.configuration.Confirmation;
import org.clementinepost.policy.access.IncomingRequest;

/** A message to the {@link AccessService}. */
public sealed interface AccessMessage {
  /** Authorizes an incoming request. */
  record Authorize(IncomingRequest request, Reply<Either<Failure, RequestHead>> reply)
      implements AccessMessage {}

  /** The active configuration has been confirmed to be the newest. */
  record Confirmed(Confirmation confirmation) implements AccessMessage {}

  /** A new configuration has taken effect. */
  record Configured(Snapshot snapshot) implements AccessMessage {}
}
