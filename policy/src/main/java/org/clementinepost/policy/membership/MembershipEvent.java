package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MembershipPeerMessage;

/** What the membership decision is told. */
public sealed interface MembershipEvent {
  /** When it happened. */
  long nowMillis();

  /** Time has passed. */
  record Tick(long nowMillis, long random) implements MembershipEvent {}

  /** Another node has sent a message. */
  record Received(NodeId from, MembershipPeerMessage message, long nowMillis)
      implements MembershipEvent {}

  /** The kept link to a node is up. */
  record LinkUp(NodeId node, long nowMillis) implements MembershipEvent {}

  /** The kept link to a node is down, or cannot be made. */
  record LinkDown(NodeId node, long nowMillis) implements MembershipEvent {}

  /** A probe that another node asked for has ended. */
  record ProbeCompleted(NodeId requester, Member target, boolean reachable, long nowMillis)
      implements MembershipEvent {}

  /** The table has taken the registration, or has not. */
  record Registered(boolean succeeded, long nowMillis, long random) implements MembershipEvent {}

  /** The table has given some registered nodes; none when it could not be asked. */
  record Sampled(Vector<Member> members, long nowMillis, long random) implements MembershipEvent {}

  /** This node is about to stop. */
  record Leave(long nowMillis) implements MembershipEvent {}
}
