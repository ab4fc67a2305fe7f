package org.clementinepost.api.peer;

import org.clementinepost.api.Member;

/**
 * One piece of news of a node.
 *
 * @param member the node, at the incarnation that the news is of
 * @param refutation counts the times that this incarnation has denied its own death
 * @param status what is said of it
 */
public record MemberUpdate(Member member, int refutation, MemberStatus status) {
  /** News that a node takes part. */
  public static MemberUpdate alive(Member member, int refutation) {
    return new MemberUpdate(member, refutation, MemberStatus.ALIVE);
  }

  /** The same node with another status. */
  public MemberUpdate withStatus(MemberStatus next) {
    return new MemberUpdate(member, refutation, next);
  }

  /** Whether the node takes part. */
  public boolean isAlive() {
    return status == MemberStatus.ALIVE;
  }

  /** Whether this news replaces another of the same node. */
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
