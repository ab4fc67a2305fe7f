package org.clementinepost.policy.quota;

import io.vavr.control.Either;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Reply;

/** What the decision of a holder asks for. */
public sealed interface HolderEffect {
  /** Answers a request. */
  record Taken(
      CustomerId customer, Either<Failure, Permit> result, Reply<Either<Failure, Permit>> reply)
      implements HolderEffect {}

  /** Asks a home. */
  record Send(NodeId to, QuotaMessage.Asks asks) implements HolderEffect {}

  /** Wants a {@link HolderEvent.Flush} soon. */
  record FlushSoon() implements HolderEffect {}
}
