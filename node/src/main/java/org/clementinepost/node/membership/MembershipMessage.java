package org.clementinepost.node.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.kernel.Reply;

/** A message to the membership service. */
public sealed interface MembershipMessage {
  /**
   * Subscribes to the set of other live nodes.
   *
   * @param listener receives the current set at once and then each changed set
   */
  record Subscribe(Reply<Vector<Member>> listener) implements MembershipMessage {}

  /** The periodic timer has fired. */
  record Tick() implements MembershipMessage {}

  /** A message from another node has arrived. */
  record FromPeer(NodeId from, MembershipPeerMessage message) implements MembershipMessage {}

  /** The link to a node is established. */
  record LinkUp(NodeId node) implements MembershipMessage {}

  /** The link to a node is lost, or could not be established. */
  record LinkDown(NodeId node) implements MembershipMessage {}

  /** A probe on behalf of another node has completed. */
  record ProbeCompleted(NodeId requester, Member target, boolean reachable)
      implements MembershipMessage {}

  /** The registration of this node in the platform's table has succeeded or failed. */
  record Registered(boolean succeeded) implements MembershipMessage {}

  /**
   * A sample of the registered nodes has been read; it is empty if the platform's table is
   * unavailable.
   */
  record Sampled(Vector<Member> members) implements MembershipMessage {}

  /** This node is about to stop and informs the other nodes. */
  record Leave() implements MembershipMessage {}
}
