package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Reply;

/** What the decision of a holder is told. */
public sealed interface HolderEvent {
  /** A request of a customer asks for one token. */
  record Take(CustomerId customer, long nowNanos, Reply<Either<Failure, Permit>> reply)
      implements HolderEvent {}

  /** A home has answered. */
  record Granted(QuotaMessage.Grants grants, long nowNanos) implements HolderEvent {}

  /** A node has answered that it is not the home. */
  record NotHome(NodeId from, QuotaMessage.NotHome answer, long nowNanos) implements HolderEvent {}

  /** The fleet has changed; this node is one of the members. */
  record Members(Vector<NodeId> members) implements HolderEvent {}

  /** It is time to send the asks that have gathered. */
  record Flush(long nowNanos) implements HolderEvent {}

  /** Time has passed. */
  record Tick(long nowNanos) implements HolderEvent {}

  /** The node is stopping: every token is given back. */
  record Stopping(long nowNanos) implements HolderEvent {}
}
