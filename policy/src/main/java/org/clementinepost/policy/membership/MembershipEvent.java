package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MembershipPeerMessage;

/** An input of {@link MembershipPolicy}. */
public sealed interface MembershipEvent {
  /** The time of the event. */
  long nowMillis();

  /** The periodic timer has fired. */
  record Tick(long nowMillis, long random) implements MembershipEvent {}

  /** A message from another node has arrived. */
  record Received(NodeId from, MembershipPeerMessage message, long nowMillis)
      implements MembershipEvent {}

  /** The link to a node is established. */
  record LinkUp(NodeId node, long nowMillis) implements MembershipEvent {}

  /** The link to a node is lost, or could not be established. */
  record LinkDown(NodeId node, long nowMillis) implements MembershipEvent {}

  /** A probe on behalf of another node has completed. */
  record ProbeCompleted(NodeId requester, Member target, boolean reachable, long nowMillis)
      implements MembershipEvent {}

  /** The registration of this node has succeeded or failed. */
  record Registered(boolean succeeded, long nowMillis, long random) implements MembershipEvent {}

  /**
   * A sample of the registered nodes has been read; it is empty if the platform's table is
   * unavailable.
   */
  record Sampled(Vector<Member> members, long nowMillis, long random) implements MembershipEvent {}

  /** This node is about to stop. */
  record Leave(long nowMillis) implements MembershipEvent {}
}
