package org.clementinepost.node.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.kernel.Reply;

/** What the membership service is told. */
public sealed interface MembershipMessage {
  /** Asks for every view of the other nodes, the present one first. */
  record Subscribe(Reply<Vector<Member>> listener) implements MembershipMessage {}

  /** Time has passed. */
  record Tick() implements MembershipMessage {}

  /** Another node has sent a message. */
  record FromPeer(NodeId from, MembershipPeerMessage message) implements MembershipMessage {}

  /** The kept link to a node is up. */
  record LinkUp(NodeId node) implements MembershipMessage {}

  /** The kept link to a node is down, or cannot be made. */
  record LinkDown(NodeId node) implements MembershipMessage {}

  /** A probe for another node has ended. */
  record ProbeCompleted(NodeId requester, Member target, boolean reachable)
      implements MembershipMessage {}

  /** The table has taken the registration, or has not. */
  record Registered(boolean succeeded) implements MembershipMessage {}

  /** The table has given some registered nodes; none when it could not be asked. */
  record Sampled(Vector<Member> members) implements MembershipMessage {}

  /** This node is about to stop: the others are told. */
  record Leave() implements MembershipMessage {}
}
