package org.clementinepost.policy.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.membership.StableHash;

/**
 * The live nodes, this one among them, and which of them hold a service.
 *
 * <p>The holders of a service are the nodes with the highest hashes of node and service together,
 * so that a node's death moves only the services that it held.
 */
public record LiveNodes(Map<NodeId, Member> members) {
  private static final int DIRECTORY_NODES_PER_SERVICE = 3;
  private static final LiveNodes EMPTY = new LiveNodes(HashMap.empty());

  /** The fleet without nodes. */
  public static LiveNodes empty() {
    return EMPTY;
  }

  /** A fleet of these nodes. */
  public static LiveNodes of(Vector<Member> members) {
    return new LiveNodes(members.toMap(Member::node, member -> member));
  }

  /** Whether a process of this node and incarnation lives. */
  boolean isLive(NodeId node, long incarnation) {
    return members.get(node).exists(member -> member.incarnation() <= incarnation);
  }

  /** Whether a node lives. */
  boolean isLive(NodeId node) {
    return members.containsKey(node);
  }

  /** The nodes that hold a service, best first. */
  public Vector<NodeId> directoryNodes(ServiceId service) {
    long serviceHash = StableHash.of(service.value());
    NodeId[] best = new NodeId[DIRECTORY_NODES_PER_SERVICE];
    long[] scores = new long[DIRECTORY_NODES_PER_SERVICE];
    int found = 0;
    for (NodeId node : members.keysIterator()) {
      long score = score(serviceHash, node);
      int place = found;
      while (place > 0 && ranksHigher(score, node, scores[place - 1], best[place - 1])) {
        place--;
      }
      if (place == DIRECTORY_NODES_PER_SERVICE) {
        continue;
      }
      found = Math.min(found + 1, DIRECTORY_NODES_PER_SERVICE);
      for (int i = found - 1; i > place; i--) {
        best[i] = best[i - 1];
        scores[i] = scores[i - 1];
      }
      best[place] = node;
      scores[place] = score;
    }
    return Vector.of(best).take(found);
  }

  /** Whether the change to another fleet can have moved a service. */
  boolean affectsDirectoryNodes(ServiceId service, Vector<NodeId> holders, Change change) {
    boolean lost = change.left().exists(holders::contains);
    if (lost || holders.size() < DIRECTORY_NODES_PER_SERVICE) {
      return true;
    }
    long serviceHash = StableHash.of(service.value());
    NodeId last = holders.last();
    long lastScore = score(serviceHash, last);
    return change
        .joined()
        .exists(node -> ranksHigher(score(serviceHash, node), node, lastScore, last));
  }

  /** Who has come and gone between this fleet and a later one; a restarted node does both. */
  Change changeTo(LiveNodes next) {
    Vector<NodeId> joined =
        next.members
            .valuesIterator()
            .filter(member -> !members.get(member.node()).contains(member))
            .map(Member::node)
            .toVector();
    Vector<NodeId> left =
        members
            .valuesIterator()
            .filter(member -> !next.members.get(member.node()).contains(member))
            .map(Member::node)
            .toVector();
    return new Change(joined, left);
  }

  /** Who has come and gone. */
  record Change(Vector<NodeId> joined, Vector<NodeId> left) {}

  private static long score(long serviceHash, NodeId node) {
    return StableHash.of(serviceHash, StableHash.of(node.value()));
  }

  private static boolean ranksHigher(long score, NodeId node, long otherScore, NodeId other) {
    return score == otherScore
        ? node.compareTo(other) < 0
        : Long.compareUnsigned(score, otherScore) > 0;
  }
}
