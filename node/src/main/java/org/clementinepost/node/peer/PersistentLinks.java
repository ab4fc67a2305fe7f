package org.clementinepost.node.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.UnaryOperator;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;

/**
 * The persistent links to other nodes, with the state and the next dial time of each.
 *
 * @param links the links by node
 */
record PersistentLinks(Map<NodeId, Link> links) {
  private static final long INITIAL_BACKOFF_MILLIS = 1_000;
  private static final long MAX_BACKOFF_MILLIS = 16_000;
  private static final int MAX_DOUBLINGS = 4;
  private static final PersistentLinks NONE = new PersistentLinks(HashMap.empty());

  /**
   * A persistent link.
   *
   * @param member the peer
   * @param up whether the connection is established and the peer has sent its hello
   * @param failures the number of failed attempts since the link was up
   * @param nextDialMillis when to dial the peer next
   */
  record Link(Member member, boolean up, int failures, long nextDialMillis) {}

  static PersistentLinks none() {
    return NONE;
  }

  /** Returns the links to these members; unchanged members keep the state of their links. */
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

  /** Returns the member that a link leads to. */
  Option<Member> member(NodeId node) {
    return links.get(node).map(Link::member);
  }

  /** Returns the links after the node's hello has arrived. */
  PersistentLinks withLinkUp(NodeId node) {
    return updateLink(node, link -> new Link(link.member(), true, 0, Long.MAX_VALUE));
  }

  /** Returns the links with this one down, to be redialed after exponential backoff with jitter. */
  PersistentLinks withLinkDown(NodeId node, long nowMillis, long random) {
    return updateLink(
        node,
        link -> {
          int failures = Math.min(link.failures() + 1, MAX_DOUBLINGS + 1);
          long backoffMillis =
              Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << (failures - 1));
          long jitterMillis = Math.floorMod(random, backoffMillis);
          return new Link(
              link.member(), false, failures, nowMillis + backoffMillis / 2 + jitterMillis);
        });
  }

  /** Returns the members whose links are to be dialed now. */
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
