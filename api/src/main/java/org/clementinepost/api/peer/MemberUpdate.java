package org.clementinepost.api.peer;

import org.clementinepost.api.Member;

/**
 * What a node knows about one member, as passed on by gossip.
 *
 * @param member the node, at the incarnation that the update is about
 * @param refutation how many times this incarnation has refuted its own death
 * @param status the reported status of the node
 */
public record MemberUpdate(Member member, int refutation, MemberStatus status) {
  /** Returns an update that reports a node as alive. */
  public static MemberUpdate alive(Member member, int refutation) {
    return new MemberUpdate(member, refutation, MemberStatus.ALIVE);
  }

  /** Returns this update with another status. */
  public MemberUpdate withStatus(MemberStatus next) {
    return new MemberUpdate(member, refutation, next);
  }

  /** Whether the node is reported alive. */
  public boolean isAlive() {
    return status == MemberStatus.ALIVE;
  }

  /** Whether this update replaces another update about the same node. */
  public boolean supersedes(MemberUpdate other) {
    if (member.incarnation() != other.member.incarnation()) {
      return member.incarnation() > other.member.incarnation();
    }
    if (refutation != other.refutation) {
      return refutation > other.refutation;
    }
    return status.compareTo(other.status) > 0;
  }
}
