package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.api.peer.MembershipPeerMessage;

/** An action that {@link MembershipPolicy} requests. */
public sealed interface MembershipEffect {
  /** Sends a message to a node. */
  record Send(Member to, MembershipPeerMessage message) implements MembershipEffect {}

  /** Replaces the set of nodes to keep links to. */
  record SetLinks(Vector<Member> members) implements MembershipEffect {}

  /** Probes a node on behalf of another node. */
  record Probe(NodeId requester, Member target) implements MembershipEffect {}

  /** Publishes the live nodes to the other services of this node. */
  record PublishView(Vector<Member> others) implements MembershipEffect {}

  /** Writes this node's registration. */
  record Register(Member self) implements MembershipEffect {}

  /** Reads a few registrations, beginning at a random position. */
  record SampleRegistrations(long startPosition) implements MembershipEffect {}

  /** Removes this node's registration. */
  record Unregister(Member self) implements MembershipEffect {}

  /** Reports that the status of a node has changed in this node's view. */
  record MemberChanged(MemberUpdate update, String cause) implements MembershipEffect {}
}
