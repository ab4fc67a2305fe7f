package org.clementinepost.node.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.UnaryOperator;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;

/**
 * The nodes that links are kept to, and when each that is down is dialed again.
 *
 * @param links the links by their node
 */
record PersistentLinks(Map<NodeId, Link> links) {
  private static final long INITIAL_BACKOFF_MILLIS = 1_000;
  private static final long MAX_BACKOFF_MILLIS = 16_000;
  private static final int MAX_DOUBLINGS = 4;
  private static final PersistentLinks NONE = new PersistentLinks(HashMap.empty());

  /**
   * One kept link.
   *
   * @param member the node at its other end
   * @param up whether the node has been heard on it
   * @param failures the attempts that failed since it was up
   * @param nextDialMillis when it is to be dialed
   */
  record Link(Member member, boolean up, int failures, long nextDialMillis) {}

  static PersistentLinks none() {
    return NONE;
  }

  /** Keeps links to these nodes; those that stay are left as they are. */
  PersistentLinks withMembers(Vector<Member> members, long nowMillis) {
    return new PersistentLinks(
        members.toMap(
            Member::node,
            member ->
                links
                    .get(member.node())
                    .filter(link -> link.member().equals(member))
                    .getOrElse(new Link(member, false, 0, nowMillis))));
  }

  boolean contains(NodeId node) {
    return links.containsKey(node);
  }

  /** The address of a node that a link is kept to. */
  Option<Member> member(NodeId node) {
    return links.get(node).map(Link::member);
  }

  /** A node has been heard on its link. */
  PersistentLinks withLinkUp(NodeId node) {
    return updateLink(node, link -> new Link(link.member(), true, 0, Long.MAX_VALUE));
  }

  /** A link is down; it is dialed again after a wait that grows with the failures. */
  PersistentLinks withLinkDown(NodeId node, long nowMillis, long random) {
    return updateLink(
        node,
        link -> {
          int failures = Math.min(link.failures() + 1, MAX_DOUBLINGS + 1);
          long waitMillis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << (failures - 1));
          long jitterMillis = Math.floorMod(random, waitMillis);
          return new Link(
              link.member(), false, failures, nowMillis + waitMillis / 2 + jitterMillis);
        });
  }

  /** The links that are to be dialed now. */
  Vector<Member> membersToDial(long nowMillis) {
    return links
        .valuesIterator()
        .filter(link -> !link.up() && link.nextDialMillis() <= nowMillis)
        .map(Link::member)
        .toVector();
  }

  private PersistentLinks updateLink(NodeId node, UnaryOperator<Link> change) {
    return links
        .get(node)
        .map(link -> new PersistentLinks(links.put(node, change.apply(link))))
        .getOrElse(this);
  }
}
