package org.clementinepost.node.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.kernel.Reply;

/** What the membership service is told. */
public sealed interface MembershipMessage {
  /** Asks for every view of the other nodes, the present one first. */
  record Subscribe(Reply<Vector<Member>> listener) implements MembershipMessage {}

  /** It is time to register and to ask who else has. */
  record Poll() implements MembershipMessage {}

  /** The table has given the registered nodes, or has not. */
  record Loaded(Either<Failure, Vector<Member>> members) implements MembershipMessage {}
}
