package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.api.peer.MembershipPeerMessage;

/** What the membership decision asks for. */
public sealed interface MembershipEffect {
  /** Sends a message to a node. */
  record Send(Member to, MembershipPeerMessage message) implements MembershipEffect {}

  /** Keeps links to these nodes and to no others. */
  record SetLinks(Vector<Member> members) implements MembershipEffect {}

  /** Finds out whether a node answers, for another one that asks. */
  record Probe(NodeId requester, Member target) implements MembershipEffect {}

  /** Tells the other services of the live nodes. */
  record PublishView(Vector<Member> others) implements MembershipEffect {}

  /** Writes this node's registration. */
  record Register(Member self) implements MembershipEffect {}

  /** Reads a few registrations from a random place on. */
  record SampleRegistrations(long startPosition) implements MembershipEffect {}

  /** Removes this node's registration. */
  record Unregister(Member self) implements MembershipEffect {}

  /** A node's status has changed in this node's view. */
  record MemberChanged(MemberUpdate update, String cause) implements MembershipEffect {}
}
