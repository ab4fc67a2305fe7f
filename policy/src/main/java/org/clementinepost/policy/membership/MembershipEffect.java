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
  record Link(Vector<Member> to) implements MembershipEffect {}

  /** Finds out whether a node answers, for another one that asks. */
  record Probe(NodeId asker, Member target) implements MembershipEffect {}

  /** Tells the other services of the live nodes. */
  record View(Vector<Member> others) implements MembershipEffect {}

  /** Writes this node's registration. */
  record Register(Member self) implements MembershipEffect {}

  /** Reads a few registrations from a random place on. */
  record Sample(long position) implements MembershipEffect {}

  /** Removes this node's registration. */
  record Unregister(Member self) implements MembershipEffect {}

  /** A node's status has changed in this node's view. */
  record Changed(MemberUpdate update, String cause) implements MembershipEffect {}
}
